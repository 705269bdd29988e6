package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"carawaypick/pkg/clock"
)

// Start reads and spreads until the context ends, and then reports on the channel, once all its calls have ended.
func (m *Member) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var catcher panics.Catcher
		catcher.Try(func() { m.loop(ctx) })
		if r := catcher.Recovered(); r != nil {
			done <- errors.Wrap(r.AsError(), "run member")
			return
		}
		done <- nil
	}()
	return done
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
