package direct

import (
	"context"
	"io"
	"net"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/engine"
	"carawaypick/internal/kernel"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// RunRank works beside one rank until ctx ends.
func RunRank(ctx context.Context, s Settings, dialect engine.Dialect, stdout io.Writer) (err error) {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	output := telemetry.NewBounded()
	written := kernel.Start(inner, func(ctx context.Context) error { return output.Run(ctx, stdout) })
	logger, err := telemetry.NewLogger(output, "info", s.Name, "rank")
	if err != nil {
		return err
	}
	var entries []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			level.Warn(logger).Log("msg", "seed ignored", "seed", seed, "error", err)
			continue
		}
		entries = append(entries, host)
	}
	level.Info(logger).Log("msg", "started", "engine", s.Engine, "zone", s.Zone, "fencing", s.Fencing)
	agent := engine.New(engine.Settings{
		IP: s.IP, Port: s.Ports[0], Engine: s.Engine, Entries: entries, Fencing: s.Fencing,
	}, dialect, clock.New(), logger)
	err = agent.Run(ctx)
	level.Info(logger).Log("msg", "stopped", "dropped", output.Dropped.Load())
	cancel()
	return errors.CombineErrors(err, <-written)
}
