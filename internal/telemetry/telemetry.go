package telemetry

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"carawaypick/internal/config"
)

// Telemetry bundles the logger, metrics and tracer of a process.
type Telemetry struct {
	Logger  log.Logger
	Metrics *Metrics
	Tracer  *Tracer
	file    output
}

// Open returns the telemetry that the settings describe for the role entry or agent; it fails if a file cannot be opened or the log level is unknown.
func Open(s config.Settings, role string, stdout, stderr io.Writer) (t *Telemetry, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "open telemetry")
		}
	}()
	file, err := open(s.Log.File, stdout, stderr)
	if err != nil {
		return nil, err
	}
	logger, err := NewLogger(file, s.Log.Level, s.Name, role)
	if err != nil {
		return nil, errors.CombineErrors(err, file.close())
	}
	tracer, err := newTracer(s.Trace, s.Name, role, stdout)
	if err != nil {
		return nil, errors.CombineErrors(err, file.close())
	}
	return &Telemetry{Logger: logger, Metrics: NewMetrics(), Tracer: tracer, file: file}, nil
}

// Discard returns telemetry that drops logs and traces, for tests and tools.
func Discard() *Telemetry {
	noClose := func() error { return nil }
	return &Telemetry{Logger: log.NewNopLogger(), Metrics: NewMetrics(), Tracer: &Tracer{}, file: output{io.Discard, noClose}}
}

// Close flushes pending spans and closes the files.
func (t *Telemetry) Close(ctx context.Context) error {
	return errors.CombineErrors(t.Tracer.Close(ctx), t.file.close())
}
