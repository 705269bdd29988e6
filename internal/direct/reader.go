package direct

import (
	"context"
	"sync/atomic"
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

	Following

	last   clock.Time // last success, or last look at the processes that read
	failed clock.Time // last failure
	broken atomic.Bool
	whole  bool // the belief reflects a range, so that a watch may follow
}

// Lost tells whether the store did not answer the last call.
func (r *Reader) Lost() bool {
	return r.broken.Load()
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
			pause = firstRetry
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			level.Info(r.Logger).Log("msg", "history is gone, reading everything", "revision", r.Belief.Revision())
			r.whole = false
			continue
		}
		r.failure(ctx, err)
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
		pause = min(2*pause, lastRetry)
	}
	return nil
}

// step makes one call, or follows the processes that do.
func (r *Reader) step(ctx context.Context) error {
	if r.whole && !r.Reads(r.Lost()) {
		err := r.wait(ctx)
		if err == nil {
			r.last = r.Clock.Now()
			if r.Lost() && r.Clock.Since(r.failed) > lostFor {
				r.broken.Store(false) // it may be among the readers again
			}
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		level.Info(r.Logger).Log("msg", "peer does not answer, reading the store", "error", err, "revision", r.Belief.Revision())
	}
	if !r.whole {
		ctx, cancel := context.WithTimeout(ctx, rangeTimeout.Duration())
		defer cancel()
		items, revision, err := r.Wire.Range(ctx, "")
		if err != nil {
			return err
		}
		r.success()
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
	r.success()
	r.Belief.Apply(changes, revision, "store")
	if len(changes) > 0 {
		r.Tell()
	}
	return nil
}

// success notes that the store answered, before what was read is applied: after an outage entries may have lapsed.
func (r *Reader) success() {
	silent := r.Clock.Since(r.last)
	if silent > outageAfter+watchWait {
		r.Belief.Back()
	}
	if r.broken.Swap(false) {
		level.Info(r.Logger).Log("msg", "store reached again", "silent", silent, "revision", r.Belief.Revision())
	}
	r.last = r.Clock.Now()
}

func (r *Reader) failure(ctx context.Context, err error) {
	r.failed = r.Clock.Now()
	if !r.broken.Swap(true) {
		level.Warn(r.Logger).Log("msg", "store lost", "error", err, "silent", r.Clock.Since(r.last), "revision", r.Belief.Revision())
	}
	if err := r.Follow(ctx); err != nil {
		level.Warn(r.Logger).Log("msg", "peer did not answer", "error", err)
	}
}
