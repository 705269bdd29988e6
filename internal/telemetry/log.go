package telemetry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

// timeFormat is the layout of the timestamp of a log line, in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// NewLogger returns a logger that writes JSON lines at or above minLevel, which is debug, info, warn or error; it fails for any other level.
func NewLogger(w io.Writer, minLevel, name, role string) (l log.Logger, err error) {
	v, err := level.Parse(minLevel)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", minLevel)
	}
	l = log.NewJSONLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(v))
	return log.With(l, "ts", log.Valuer(timestamp), "name", name, "role", role), nil
}

func timestamp() any {
	return time.UnixMilli(clock.Wall()).UTC().Format(timeFormat)
}
