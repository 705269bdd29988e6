package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	rangeTimeout = 1500 * clock.Millisecond // a slow store takes a quarter of a second for a call
	watchWait    = 2 * clock.Second         // longest wait of one watch: a silent connection is noticed soon after it
	watchMargin  = 800 * clock.Millisecond  // for the answer beyond the wait
	firstRetry   = 100 * clock.Millisecond  // pause after the first failed call
	lastRetry    = 800 * clock.Millisecond  // longest pause between failed calls, since each is counted
	outageAfter  = 2500 * clock.Millisecond // silence of the store after which entries may have lapsed
)

// Reader keeps a belief up to date from the store.
type Reader struct {
	Wire   Wire
	Belief *Belief
	Clock  clock.Clock
	Logger log.Logger

	// Lost is called after each failed call with the time in ms since the last success.
	Lost func(silent clock.Span)

	last   clock.Time // last success
	broken bool
	whole  bool // the belief reflects a range, so that a watch may follow
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.last = r.Clock.Now()
	pause := firstRetry
	for ctx.Err() == nil {
		err := r.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			r.success()
			pause = firstRetry
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			level.Info(r.Logger).Log("msg", "history is gone, reading everything", "revision", r.Belief.Revision())
			r.whole = false
			continue
		}
		r.failure(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
		pause = min(2*pause, lastRetry)
	}
	return nil
}

// step makes one call.
func (r *Reader) step(ctx context.Context) error {
	if !r.whole {
		ctx, cancel := context.WithTimeout(ctx, rangeTimeout.Duration())
		defer cancel()
		items, revision, err := r.Wire.Range(ctx, "")
		if err != nil {
			return err
		}
		r.back()
		r.Belief.Replace(items, revision, "store")
		r.whole = true
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, (watchWait + watchMargin).Duration())
	defer cancel()
	changes, revision, err := r.Wire.Watch(ctx, "", r.Belief.Revision(), watchWait)
	if err != nil {
		return err
	}
	r.back()
	r.Belief.Apply(changes, revision, "store")
	return nil
}

// back notes the end of an outage before what was read is applied.
func (r *Reader) back() {
	if r.Clock.Since(r.last) > outageAfter+watchWait {
		r.Belief.Back()
	}
}

func (r *Reader) success() {
	if r.broken {
		level.Info(r.Logger).Log("msg", "store reached again", "silent", r.Clock.Since(r.last), "revision", r.Belief.Revision())
	}
	r.broken = false
	r.last = r.Clock.Now()
}

func (r *Reader) failure(err error) {
	silent := r.Clock.Since(r.last)
	if !r.broken {
		level.Warn(r.Logger).Log("msg", "store lost", "error", err, "revision", r.Belief.Revision())
	}
	r.broken = true
	if r.Lost != nil {
		r.Lost(silent)
	}
}
