package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	checkWait       = clock.Millisecond        // of the watch by which the state is checked
	checkTimeout    = 500 * clock.Millisecond  // for a check, which the store answers at once
	minCheckPause   = 200 * clock.Millisecond  // after the first failed check
	maxCheckPause   = 1500 * clock.Millisecond // between failed checks, so that the state is not older for long once the store answers again
	storeRetryDelay = 5 * clock.Second         // after a failed call, before an entry tries whether it can read the store again
)

// CheckLoop reads the store itself once nobody has confirmed for too long that the state is what the store holds, so that
// this entry waits for no other one and for no connection. It also tries, from time to time, a store that was lost.
func (r *StoreReader) CheckLoop(ctx context.Context) error {
	pause := minCheckPause
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(r.untilCheck(pause).Duration()):
		}
		age, limit := r.State.Age(), r.checkAge()
		if age < limit && !r.retryDue() {
			pause = minCheckPause
			continue
		}
		if age >= limit {
			level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "state is not confirmed, reading the store", "age", age, "limit", limit, "lost", r.Lost())
		}
		if err := r.check(ctx); err != nil && ctx.Err() == nil {
			pause = min(2*pause, maxCheckPause)
		}
	}
}

// untilCheck returns the ms until the next check may be due; pause is the time between failed checks.
func (r *StoreReader) untilCheck(pause clock.Span) clock.Span {
	wait := r.checkAge() - r.State.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost.Load() {
		wait = min(wait, storeRetryDelay-r.Clock.Since(r.lastFailure))
	}
	if r.lastFailure > 0 {
		wait = max(wait, pause-r.Clock.Since(r.lastFailure))
	}
	return max(wait, 1)
}

// retryDue reports whether the store was lost so long ago that this entry tries it again.
func (r *StoreReader) retryDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost.Load() && r.Clock.Since(r.lastFailure) >= storeRetryDelay
}

// check applies what the store holds after the state's position, without waiting for changes. A watch that waits meanwhile
// is given up if it should have told the changes, or if the store does not answer.
func (r *StoreReader) check(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout.Duration())
	defer cancel()
	before := r.State.Position()
	changed, err := true, ErrCompacted
	if !before.IsZero() {
		_, changed, err = r.readChanges(ctx, checkWait)
	}
	if isCompacted(err) {
		changed, err = true, r.readAll(ctx)
	}
	if err != nil {
		r.recordFailure(err)
	}
	if err != nil || changed {
		r.giveUpWatch(before)
	}
	return err
}
