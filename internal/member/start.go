package member

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
)

// Start reads and spreads until the context ends, and then reports on the channel, once all its calls have ended.
func (m *Member) Start(ctx context.Context) <-chan error {
	return kernel.Start(ctx, func(ctx context.Context) error {
		m.loop(ctx)
		return nil
	})
}

func (m *Member) loop(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		for _, k := range m.Due(m.options.Clock.Now()) {
			calls.Go(func() { m.Perform(ctx, k) })
		}
		m.rest(ctx)
	}
}

// rest waits until a duty is due, or news come.
func (m *Member) rest(ctx context.Context) {
	wait := max(m.next().Sub(m.options.Clock.Now()), clock.Millisecond)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-timer.C:
	}
}
