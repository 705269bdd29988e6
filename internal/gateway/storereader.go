package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

const (
	rangeTimeout    = 1500 * clock.Millisecond // for all pages of a range; a slow store takes 250 ms for each
	watchWait       = 2 * clock.Second         // duration of one watch call, short so that a dead connection is detected soon
	watchMargin     = 800 * clock.Millisecond  // time for the response after watchWait
	minRetryPause   = 100 * clock.Millisecond  // after the first failed call
	maxRetryPause   = 800 * clock.Millisecond  // between failed calls, since each call has a cost
	outageThreshold = 2500 * clock.Millisecond // time without a response, beyond watchWait, after which registrations may have expired
)

// StoreReader keeps a ClusterState up to date from the store, or from peers that read the store.
type StoreReader struct {
	Protocol Protocol
	State    *ClusterState
	Clock    clock.Clock
	Logger   log.Logger

	PeerSync

	lastSuccess clock.Time // last successful store call or pull from a peer
	lastFailure clock.Time // last failed store call
	lost        atomic.Bool
	loaded      bool       // State reflects a range call, so that watch calls can continue from it
	reading     bool       // this process reads the store rather than following peers
	callStart   clock.Time // start of the last store call
	pause       clock.Span // after the next failed call
}

// Lost reports whether the last store call failed.
func (r *StoreReader) Lost() bool {
	return r.lost.Load()
}

// Run updates the state until ctx ends; it returns nil.
func (r *StoreReader) Run(ctx context.Context) error {
	r.lastSuccess, r.pause = r.Clock.Now(), minRetryPause
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if errors.Is(err, ErrCompacted) {
			level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "store does not have the changes since this position, reading all records", "error", err)
			r.loaded = false
		} else {
			r.handleFailure(ctx, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.pause.Duration()):
		}
		r.pause = min(2*r.pause, maxRetryPause)
	}
	return nil
}

// step makes one store call, or pulls from peers if other processes read the store. A range alone does not end the
// longer pauses after failures: the watch that continues from it may fail again.
func (r *StoreReader) step(ctx context.Context) error {
	if r.loaded && !r.ShouldRead(r.Lost()) {
		r.setReading(false)
		err := r.pullAndWait(ctx)
		if err == nil {
			r.lastSuccess, r.pause = r.Clock.Now(), minRetryPause
			if r.Lost() && r.Clock.Since(r.lastFailure) > storeRetryDelay {
				r.lost.Store(false) // this process may read the store again
			}
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "peer does not answer, reading the store", "error", err)
	}
	r.setReading(true)
	r.callStart = r.Clock.Now()
	if !r.loaded {
		ctx, cancel := context.WithTimeout(ctx, rangeTimeout.Duration())
		defer cancel()
		answer, err := r.Protocol.Range(ctx, "")
		if err != nil {
			return err
		}
		r.recordSuccess()
		answer = answer.withKnownEra(r.State.Position())
		if !r.State.Replace(answer.Changes, answer.Position, "store") && !answer.Position.SameEra(r.State.Position()) {
			return errOlderAnswer
		}
		r.loaded = true
		return nil
	}
	position := r.State.Position()
	ctx, cancel := context.WithTimeout(ctx, (watchWait + watchMargin).Duration())
	defer cancel()
	answer, err := r.Protocol.Watch(ctx, "", position, watchWait)
	if err != nil {
		return err
	}
	r.recordSuccess()
	answer = answer.withKnownEra(position)
	if !r.State.Apply(answer.Changes, answer.Position, "store") {
		return errors.Wrap(ErrCompacted, "answer is of another era")
	}
	r.pause = minRetryPause
	if len(answer.Changes) > 0 {
		r.Notify()
	}
	return nil
}

// setReading records whether this process reads the store or follows peers, and logs a change.
func (r *StoreReader) setReading(reading bool) {
	if reading != r.reading {
		r.reading = reading
		level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "source of the state changed", "store", reading, "lost", r.Lost(), "silent", r.Clock.Since(r.lastSuccess))
	}
}

// errOlderAnswer means that the store answered with records of an earlier era than those that are known from peers.
var errOlderAnswer = errors.New("answer of the store is of an earlier era than the state")

// withKnownEra returns the answer with the era of p if the store does not tell its own, as one of an earlier release.
func (a StoreAnswer) withKnownEra(p store.Position) StoreAnswer {
	if a.Position.HasEra() {
		return a
	}
	changes := slices.Clone(a.Changes)
	for i := range changes {
		changes[i].Position = changes[i].Position.WithEraOf(p)
	}
	return StoreAnswer{Changes: changes, Position: a.Position.WithEraOf(p)}
}

// recordSuccess records a response of the store; it must be called before the response is applied, because registrations
// may have expired during an outage.
func (r *StoreReader) recordSuccess() {
	elapsed := r.Clock.Since(r.lastSuccess)
	if elapsed > outageThreshold+watchWait {
		r.State.StartOutageGrace()
	}
	if r.lost.Swap(false) {
		level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "store reached again", "silent", elapsed)
	}
	r.lastSuccess = r.Clock.Now()
}

func (r *StoreReader) handleFailure(ctx context.Context, err error) {
	r.lastFailure = r.Clock.Now()
	if !r.lost.Swap(true) {
		level.Warn(logAt(r.Logger, r.State.Position())).Log("msg", "store lost", "error", err, "silent", r.Clock.Since(r.lastSuccess), "took", r.Clock.Since(r.callStart))
	}
	if err := r.Pull(ctx); err != nil {
		level.Warn(r.Logger).Log("msg", "peer did not answer, keeping the current state", "error", err)
	}
}
