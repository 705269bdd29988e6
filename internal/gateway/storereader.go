package gateway

import (
	"context"
	"slices"
	"sync"
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
	watchMargin     = 800 * clock.Millisecond  // time for the response after the wait of a watch
	minRetryPause   = 100 * clock.Millisecond  // after the first failed call
	maxRetryPause   = 800 * clock.Millisecond  // between failed calls, since each call has a cost
	outageThreshold = 2500 * clock.Millisecond // time without a response of the store, after which registrations may have expired
)

// StoreReader keeps a ClusterState up to date from the store, or from peers that read the store.
//
// The entries that read the store wait in watches that end in turn, so that one of them confirms the state at each
// interval; all others learn from their heartbeats how old the state is. See CheckLoop for an entry that learns nothing.
type StoreReader struct {
	Protocol Protocol
	State    *ClusterState
	Clock    clock.Clock
	Logger   log.Logger

	PeerSync

	loaded  bool       // State reflects a range call, so that watch calls can continue from it
	reading bool       // this process reads the store rather than following peers
	pause   clock.Span // after the next failed call
	wait    clock.Span // of the next watch; 0 for the turn of this entry among the readers

	lost atomic.Bool

	mu          sync.Mutex
	lastFailure clock.Time     // last failed store call; 0 for none
	watchedFrom store.Position // of the watch that is under way
	cancelWatch func()         // gives up the watch that is under way; nil for none
}

// Lost reports whether the last store call failed, or none has been answered yet.
func (r *StoreReader) Lost() bool {
	return r.lost.Load()
}

// Run updates the state until ctx ends; it returns nil.
func (r *StoreReader) Run(ctx context.Context) error {
	r.pause = minRetryPause
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if isCompacted(err) {
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

func isCompacted(err error) bool {
	return errors.Is(err, ErrCompacted)
}

// step makes one store call, or pulls from peers if other processes read the store. A range alone does not end the
// longer pauses after failures: the watch that continues from it may fail again.
func (r *StoreReader) step(ctx context.Context) error {
	if r.loaded && !r.ShouldRead(r.Lost()) {
		return r.follow(ctx)
	}
	r.setReading(true)
	if !r.loaded {
		ctx, cancel := context.WithTimeout(ctx, rangeTimeout.Duration())
		defer cancel()
		if err := r.readAll(ctx); err != nil {
			return err
		}
		r.loaded, r.wait = true, 0
		return nil
	}
	return r.watch(ctx)
}

// follow applies newer state of peers and waits for more. If no peer answers it reads the store at once.
func (r *StoreReader) follow(ctx context.Context) error {
	r.setReading(false)
	r.wait = 0
	err := r.pullAndWait(ctx)
	if err == nil {
		r.pause = minRetryPause
		return nil
	}
	if ctx.Err() != nil {
		return nil
	}
	level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "peer does not answer, reading the store", "error", err)
	return r.check(ctx)
}

// watch waits for changes in the store and applies them.
func (r *StoreReader) watch(ctx context.Context) error {
	wait := r.wait
	if wait == 0 {
		wait = r.FirstWait()
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + watchMargin).Duration())
	defer cancel()
	r.setWatch(cancel)
	defer r.setWatch(nil)
	started := r.Clock.Now()
	age, changed, err := r.readChanges(ctx, wait)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil // the check gave it up, or the process ends
	}
	if err != nil {
		return errors.Wrapf(err, "after %d ms", r.Clock.Since(started))
	}
	r.pause = minRetryPause
	r.wait = 0
	if !changed {
		r.wait = r.NextWait(age)
	}
	return nil
}

// readChanges applies the changes after the state's position, waiting up to wait ms for one. It returns whether there were
// any, and the age that the state had until then.
func (r *StoreReader) readChanges(ctx context.Context, wait clock.Span) (age clock.Span, changed bool, err error) {
	position, start := r.State.Position(), r.Clock.Now()
	answer, err := r.Protocol.Watch(ctx, "", position, wait)
	if err != nil {
		return 0, false, err
	}
	age = r.State.Age()
	r.recordSuccess()
	answer = answer.withKnownEra(position)
	if !r.State.Apply(answer.Changes, answer.Position, "store") {
		return age, false, errors.Wrap(ErrCompacted, "answer is of another era")
	}
	confirmedAt := start // an answer may have been on the way for long
	if len(answer.Changes) == 0 {
		confirmedAt = min(r.Clock.Now(), start.Add(wait)) // the store answered no sooner
	}
	r.State.Confirm(answer.Position, confirmedAt)
	r.Notify()
	return age, len(answer.Changes) > 0, nil
}

// readAll replaces the state by all records of the store.
func (r *StoreReader) readAll(ctx context.Context) error {
	start := r.Clock.Now()
	answer, err := r.Protocol.Range(ctx, "")
	if err != nil {
		return err
	}
	r.recordSuccess()
	answer = answer.withKnownEra(r.State.Position())
	if !r.State.Replace(answer.Changes, answer.Position, "store") && !answer.Position.SameEra(r.State.Position()) {
		return errOlderAnswer
	}
	r.State.Confirm(answer.Position, start)
	r.Notify()
	return nil
}

// setWatch records how to give up the watch that is under way; nil for none.
func (r *StoreReader) setWatch(cancel func()) {
	position := r.State.Position()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedFrom, r.cancelWatch = position, cancel
}

// giveUpWatch gives up the watch that is under way if it began at or before the position.
func (r *StoreReader) giveUpWatch(position store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelWatch != nil && !r.watchedFrom.After(position) {
		level.Info(logAt(r.Logger, position)).Log("msg", "watch of the store given up")
		r.cancelWatch()
	}
}

// setReading records whether this process reads the store or follows peers, and logs a change.
func (r *StoreReader) setReading(reading bool) {
	if reading != r.reading {
		r.reading = reading
		level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "source of the state changed", "store", reading, "lost", r.Lost(), "age", r.State.Age())
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
	r.State.EndOutage()
	if r.lost.Swap(false) {
		level.Info(logAt(r.Logger, r.State.Position())).Log("msg", "store reached", "silent", r.State.Age())
	}
}

// recordFailure records a failed store call.
func (r *StoreReader) recordFailure(err error) {
	r.mu.Lock()
	r.lastFailure = r.Clock.Now()
	r.mu.Unlock()
	if !r.lost.Swap(true) {
		level.Warn(logAt(r.Logger, r.State.Position())).Log("msg", "store lost", "error", err, "silent", r.State.Age())
		r.Notify() // others step in
	}
}

// handleFailure records a failed store call and follows peers meanwhile.
func (r *StoreReader) handleFailure(ctx context.Context, err error) {
	r.recordFailure(err)
	if err := r.Pull(ctx); err != nil {
		level.Warn(r.Logger).Log("msg", "peer did not answer, keeping the current state", "error", err)
		return
	}
	r.loaded = r.loaded || !r.State.Position().IsZero() // a peer's state continues as well as a range
}
