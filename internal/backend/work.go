package backend

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// eventBuffer is the number of events buffered for a slow entry before reads from the backend server block.
const eventBuffer = 64

// work is one request from its admission to its result.
type work struct {
	request     *peerpb.RunRequest
	token       binding.Token
	bound       bool // not idempotent: runs at most once, its answer is stored for retries
	deadline    clock.Time
	arrived     clock.Time      // time of arrival
	started     clock.Time      // time of dispatch
	root        context.Context // ctx without its deadline and cancellation
	ctx         context.Context
	incarnation string // incarnation of the backend server at dispatch
	epoch       uint64 // epoch of the last load report at dispatch
	cancel      context.CancelFunc
	events      chan Event
	done        chan struct{}
	once        sync.Once
	retained    [][]byte // events of bound work, for replay

	// Set before done is closed.
	summary Summary
	refusal *peerpb.Refusal
}

// newWork returns idempotent work, which is cancelled with ctx or at its deadline.
func newWork(ctx context.Context, request *peerpb.RunRequest, now clock.Time) *work {
	return makeWork(ctx, request, now, clock.Span(request.GetDeadline()))
}

// newBoundWork returns work that is not idempotent: it is not cancelled with its stream but after keep milliseconds.
func newBoundWork(token binding.Token, request *peerpb.RunRequest, now clock.Time, keep clock.Span) *work {
	w := makeWork(context.Background(), request, now, keep)
	w.bound = true
	w.token = token
	return w
}

func makeWork(ctx context.Context, request *peerpb.RunRequest, now clock.Time, limit clock.Span) *work {
	span := clock.Span(request.GetDeadline())
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	return &work{
		root:     context.WithoutCancel(ctx),
		request:  request,
		arrived:  now,
		deadline: now.Add(span),
		ctx:      ctx,
		cancel:   cancel,
		events:   make(chan Event, eventBuffer),
		done:     make(chan struct{}),
	}
}

// key identifies this attempt among all attempts with the same request id.
func (w *work) key() string {
	return fmt.Sprintf("%s/%s/%d", w.request.GetId(), w.request.GetEntry(), w.request.GetAttempt())
}

// close sets the result; only the first call has an effect, and a nil refusal means a complete answer.
func (w *work) close(summary Summary, refusal *peerpb.Refusal) {
	w.once.Do(func() {
		w.summary = summary
		w.refusal = refusal
		close(w.done)
	})
}

// closeIdempotent closes idempotent work, so that its entry gets the result before the slot is freed.
func (w *work) closeIdempotent(summary Summary, refusal *peerpb.Refusal) {
	if !w.bound {
		w.close(summary, refusal)
	}
}

// emit forwards an event to the entry's stream, or stores it if the work is bound.
func (w *work) emit(e Event) error {
	if w.bound {
		w.retained = append(w.retained, e.Data)
		return nil
	}
	select {
	case w.events <- e:
		return nil
	case <-w.ctx.Done():
		return errors.Wrap(w.ctx.Err(), "pass event on")
	}
}

// response returns the finished work's record for the binding table.
func (w *work) response() binding.Response {
	if w.refusal != nil {
		return binding.Response{Outcome: outcomeName(w.refusal.GetOutcome()), Reason: w.refusal.GetReason()}
	}
	return binding.Response{
		Outcome:     "done",
		Status:      w.summary.Status,
		ContentType: w.summary.MediaType,
		Events:      w.retained,
		EventsHash:  w.summary.Hash,
	}
}

func outcomeName(o peerpb.Outcome) string {
	switch o {
	case peerpb.Outcome_OUTCOME_NOTRUN:
		return "notrun"
	case peerpb.Outcome_OUTCOME_FAILED:
		return "failed"
	}
	return "unknown"
}

func parseOutcome(name string) peerpb.Outcome {
	switch name {
	case "notrun":
		return peerpb.Outcome_OUTCOME_NOTRUN
	case "failed":
		return peerpb.Outcome_OUTCOME_FAILED
	}
	return peerpb.Outcome_OUTCOME_UNKNOWN
}

func notRun(reason string, retryAfter clock.Span) *peerpb.Refusal {
	return &peerpb.Refusal{
		Outcome: peerpb.Outcome_OUTCOME_NOTRUN,
		Reason:  reason,
		After:   uint64(max(retryAfter, 0)),
	}
}
