package gateway

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/engine"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// RunAgent runs the agent beside one rank until ctx ends; it returns an error if the agent or its log output fails.
func RunAgent(ctx context.Context, s Settings, client engine.Client, reload <-chan Reload, stdout io.Writer) (err error) {
	limitMemory(s)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	output := telemetry.NewBoundedWriter()
	written := lifecycle.Start(inner, func(ctx context.Context) error { return output.Run(ctx, stdout) })
	logger, err := telemetry.NewLogger(output, "info", s.Name, "rank")
	if err != nil {
		return err
	}
	level.Info(logger).Log("msg", "started", "engine", s.Engine, "zone", s.Zone, "fencing", s.Fencing)
	agent := engine.New(engine.Settings{
		IP: s.IP, Port: s.InternalPorts[0], Engine: s.Engine, Service: s.EngineService, Entries: s.seedAddresses(logger),
		LinkBytesPerMs: s.LinkMbps * 1000 / 8,
	}, client, clock.New(), logger)
	ended := lifecycle.Start(ctx, agent.Run)
	err = runUntilExit(agent, ended, reload, logger)
	level.Info(logger).Log("msg", "stopped", "dropped", output.Dropped.Load())
	cancel()
	return errors.CombineErrors(err, <-written)
}

// runUntilExit applies reloaded settings until the agent ends, and returns its error.
func runUntilExit(a *engine.Agent, ended <-chan error, reload <-chan Reload, logger log.Logger) error {
	for {
		select {
		case err := <-ended:
			return err
		case r := <-reload:
			if r.Err != nil {
				level.Warn(logger).Log("msg", "new settings refused, the old ones stay", "error", r.Err)
				continue
			}
			a.SetEntries(r.Settings.seedAddresses(logger))
			level.Info(logger).Log("msg", "settings reloaded", "seeds", len(r.Settings.Seeds))
		}
	}
}
