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

// pieceBuffer is the number of events that wait for a slow entry before the backend server is held back.
const pieceBuffer = 64

// work is one request between its admission and its end.
type work struct {
	request     *peerpb.RunRequest
	token       binding.Token
	bound       bool // may not be repeated
	deadline    clock.Time
	arrived     clock.Time      // when it came in
	started     clock.Time      // when it was handed over
	root        context.Context // of the process
	ctx         context.Context
	incarnation string // of the backend server that it runs on
	epoch       uint64 // of the same
	cancel      context.CancelFunc
	pieces      chan Piece
	done        chan struct{}
	once        sync.Once
	held        [][]byte // events of bound work

	// Set before done is closed.
	end     End
	refusal *peerpb.Refusal
}

// newWork returns idempotent work, which ends with ctx or its deadline.
func newWork(ctx context.Context, request *peerpb.RunRequest, now clock.Time) *work {
	return makeWork(ctx, request, now, clock.Span(request.GetDeadline()))
}

// newBound returns work that may not be repeated: once handed over it runs on for up to keep milliseconds.
func newBound(token binding.Token, request *peerpb.RunRequest, now clock.Time, keep clock.Span) *work {
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
		pieces:   make(chan Piece, pieceBuffer),
		done:     make(chan struct{}),
	}
}

// key tells this work from other attempts at the same identifier.
func (w *work) key() string {
	return fmt.Sprintf("%s/%s/%d", w.request.GetId(), w.request.GetEntry(), w.request.GetAttempt())
}

// close ends the work once; a nil refusal means a whole answer.
func (w *work) close(end End, refusal *peerpb.Refusal) {
	w.once.Do(func() {
		w.end = end
		w.refusal = refusal
		close(w.done)
	})
}

// reply ends free work for its entry before the backend server has let go of it.
func (w *work) reply(end End, refusal *peerpb.Refusal) {
	if !w.bound {
		w.close(end, refusal)
	}
}

// emit passes an event on, or keeps it where the work is bound.
func (w *work) emit(p Piece) error {
	if w.bound {
		w.held = append(w.held, p.Data)
		return nil
	}
	select {
	case w.pieces <- p:
		return nil
	case <-w.ctx.Done():
		return errors.Wrap(w.ctx.Err(), "pass event on")
	}
}

// answer is what the binding table holds of ended work.
func (w *work) answer() binding.Answer {
	if w.refusal != nil {
		return binding.Answer{Outcome: outcomeName(w.refusal.GetOutcome()), Reason: w.refusal.GetReason()}
	}
	return binding.Answer{
		Outcome: "done",
		Status:  w.end.Status,
		Content: w.end.Content,
		Events:  w.held,
		Hash:    w.end.Hash,
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

func outcomeOf(name string) peerpb.Outcome {
	switch name {
	case "notrun":
		return peerpb.Outcome_OUTCOME_NOTRUN
	case "failed":
		return peerpb.Outcome_OUTCOME_FAILED
	}
	return peerpb.Outcome_OUTCOME_UNKNOWN
}

func notRun(reason string, after clock.Span) *peerpb.Refusal {
	return &peerpb.Refusal{
		Outcome: peerpb.Outcome_OUTCOME_NOTRUN,
		Reason:  reason,
		After:   uint64(max(after, 0)),
	}
}
