package gossip

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"carawaypick/internal/lifecycle"
	"carawaypick/pkg/clock"
)

// Start runs the scheduled tasks until the context ends, and reports on the channel after all calls have returned.
func (m *Member) Start(ctx context.Context) <-chan error {
	return lifecycle.Start(ctx, func(ctx context.Context) error {
		m.loop(ctx)
		return nil
	})
}

func (m *Member) loop(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		for _, k := range m.DueTasks(m.options.Clock.Now()) {
			calls.Go(func() { m.RunTask(ctx, k) })
		}
		m.waitForTask(ctx)
	}
}

// waitForTask blocks until a task is due, the loop is woken or the context ends.
func (m *Member) waitForTask(ctx context.Context) {
	wait := max(m.nextWake().Sub(m.options.Clock.Now()), clock.Millisecond)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-timer.C:
	}
}
