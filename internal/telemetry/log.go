package telemetry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

// timeFormat is the date of a log line in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// NewLogger returns a logger that writes JSON lines of the level debug, info, warn or error and above.
func NewLogger(w io.Writer, lowest, name, role string) (l log.Logger, err error) {
	v, err := level.Parse(lowest)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", lowest)
	}
	l = log.NewJSONLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(v))
	return log.With(l, "ts", log.Valuer(timestamp), "name", name, "role", role), nil
}

func timestamp() any {
	return time.UnixMilli(clock.Wall()).UTC().Format(timeFormat)
}
