package backend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Causes for which work that was due is not handed over after all.
var (
	errLate    = errors.Wrap(ErrNever, "deadline is over")
	errExpired = errors.Wrap(ErrNever, "binding is too old")
)

// pump hands over as much waiting work as the backend server bears now.
func (a *Agent) pump() {
	for {
		a.mu.Lock()
		a.refresh()
		w, late := a.next()
		a.mu.Unlock()
		a.settle(late)
		if w == nil {
			return
		}
		a.workers.Go(func() { a.perform(w) })
	}
}

// next takes the work to start now, if there is any; mu is held.
func (a *Agent) next() (start *work, late []*work) {
	now := a.clock.Now()
	if state := a.standing(); state != StateLive {
		return nil, a.turnAway(state)
	}
	for _, job := range a.queue.Expired(now) {
		job.Value.refusal = notRun(ReasonLate, 0)
		late = append(late, job.Value)
	}
	if !a.free(now) {
		return nil, late
	}
	if len(a.aside) > 0 {
		return a.isolate(), late
	}
	for {
		job, ok := a.queue.Pop(now)
		if !ok {
			return nil, late
		}
		w := job.Value
		if w.ctx.Err() != nil {
			w.refusal = notRun(ReasonCancel, 0)
			late = append(late, w)
			continue
		}
		if w.request.GetSuspect() || a.suspects.Suspect(now, w.request.GetFingerprint()) {
			a.aside = append(a.aside, w)
			return a.isolate(), late
		}
		a.begin(w)
		return w, late
	}
}

// free tells whether the backend server may get one more request; mu is held.
func (a *Agent) free(now clock.Time) bool {
	if a.doubt || a.alone {
		return false
	}
	if len(a.running) == 0 && now.Sub(a.loaded) > probeFresh {
		if a.queue.Len() > 0 || len(a.aside) > 0 {
			a.ask()
		}
		return false
	}
	return uint32(len(a.running)) < a.ramp.Window(now)
}

// isolate starts the first suspect once nothing else runs; mu is held.
func (a *Agent) isolate() *work {
	if len(a.running) > 0 {
		return nil
	}
	w := a.aside[0]
	a.aside = a.aside[1:]
	a.alone = true
	a.begin(w)
	return w
}

func (a *Agent) begin(w *work) {
	w.incarnation = a.load.Incarnation
	w.started = a.clock.Now()
	a.telemetry.Metrics.Share.Get(w.request.GetTeam()).Add(int(w.request.GetTokens()))
	a.telemetry.Metrics.Wait.Get(w.request.GetTeam()).Update(float64(w.started.Sub(w.arrived)))
	a.running[w] = struct{}{}
	a.meter.Start(w.started)
	a.measure()
}

// measure tells the pace whether the window is full now; mu is held.
func (a *Agent) measure() {
	now := a.clock.Now()
	a.pace.turn(now, uint32(len(a.running)) >= a.ramp.Window(now))
}

// perform hands one piece of work over and ends it.
func (a *Agent) perform(w *work) {
	ctx, span := a.telemetry.Tracer.Start(w.ctx, w.request.GetTrace(), "backend")
	defer span.End()
	end, err := a.handOver(ctx, w)
	if err != nil {
		span.Fail(err)
	}
	refusal := a.judge(w, err)
	w.reply(end, refusal)
	a.release(w, err)
	a.finish(w, end, refusal)
	a.pump()
}

// release makes the backend server let go of a task whose answer did not come whole,
// so that the slot is not given on while the task still runs there.
func (a *Agent) release(w *work, err error) {
	if err == nil || a.dialect.Cancel == nil || errors.Is(err, ErrNever) {
		return
	}
	if err := a.dialect.Cancel(w.root, w.request.GetId()); err != nil {
		level.Debug(a.telemetry.Logger).Log("msg", "cancel failed", "id", w.request.GetId(), "err", err)
	}
}

// handOver checks once more what may have changed while the work waited, then runs it.
func (a *Agent) handOver(ctx context.Context, w *work) (end End, err error) {
	now := a.clock.Now()
	if now >= w.deadline {
		return End{}, errLate
	}
	if w.bound && !a.table.Hand(now, w.token, w.request.GetId()) {
		return End{}, errExpired
	}
	return a.progress(ctx, w)
}

// progress runs the work and cuts it where it makes no progress for too long.
func (a *Agent) progress(ctx context.Context, w *work) (end End, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	task := Task{
		ID:       w.request.GetId(),
		Method:   w.request.GetMethod(),
		Path:     w.request.GetPath(),
		Body:     w.request.GetBody(),
		Priority: w.request.GetPriority(),
		Resume:   w.request.GetResume(),
		Limit:    a.settings.Limits.Event,
	}
	if !w.request.GetStream() {
		task.Limit = a.settings.Limits.Body
		return a.runOut(w, task)
	}
	timer := newStall(a.stall(), func() { cancel(ErrStall) })
	defer timer.stop()
	end, err = a.dialect.Run(ctx, task, func(p Piece) error {
		timer.pause()
		defer timer.resume()
		return w.emit(p)
	})
	if err != nil && errors.Is(context.Cause(ctx), ErrStall) {
		return end, errors.Wrap(ErrStall, "run")
	}
	return end, err
}

// runOut runs a task to its end even where nobody waits for the answer any more:
// a plain service can't be told to stop, and its slot is taken until it has.
func (a *Agent) runOut(w *work, task Task) (end End, err error) {
	ctx, cancel := context.WithTimeout(w.root, a.settings.Timing.Keep.Duration())
	defer cancel()
	return a.dialect.Run(ctx, task, w.emit)
}

// stall returns the milliseconds without progress after which an answer is given up.
func (a *Agent) stall() clock.Span {
	s := a.member.State().Objects.Services[a.settings.Backend.Service]
	if s != nil && s.Stall > 0 {
		return clock.Span(s.Stall)
	}
	return a.settings.Timing.Stall
}

// judge turns the end of a hand-over into the refusal that the entry gets, or nil for a whole answer.
func (a *Agent) judge(w *work, err error) *peerpb.Refusal {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNever) {
		return a.never(w, err)
	}
	reason := ReasonCut
	switch {
	case errors.Is(err, ErrStall):
		reason = ReasonStall
	case errors.Is(err, ErrForeign):
		reason = ReasonForeign
		a.telemetry.Metrics.Dropped.Get(ReasonForeign).Inc()
	case w.ctx.Err() != nil:
		reason = ReasonCancel
	case a.crashed(w):
		reason = ReasonCrash
	}
	refusal := &peerpb.Refusal{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
	if reason == ReasonCrash {
		refusal.Evidence = a.member.Evidence()
	}
	return refusal
}

// never ends work of which no byte left; a failed dial says that the backend server is down.
func (a *Agent) never(w *work, err error) *peerpb.Refusal {
	switch {
	case errors.Is(err, errLate) || a.clock.Now() >= w.deadline:
		return notRun(ReasonLate, 0)
	case errors.Is(err, errExpired):
		return notRun(binding.ReasonExpired, 0)
	case w.ctx.Err() != nil:
		return notRun(ReasonCancel, 0)
	}
	a.crashed(w)
	return notRun(ReasonDown, downAfter)
}

// finish gives the work's slot back and ends it.
func (a *Agent) finish(w *work, end End, refusal *peerpb.Refusal) {
	now := a.clock.Now()
	cleared := false
	a.mu.Lock()
	a.alone = false // where w ran alone, nothing else ran
	tokens := uint32(0)
	if refusal == nil {
		tokens = max(w.request.GetTokens(), 1)
		a.ramp.Done(now, tokens)
		cleared = a.suspects.Suspect(now, w.request.GetFingerprint())
		a.suspects.Whole(now, w.request.GetFingerprint())
		a.pace.done(tokens)
	}
	a.meter.Done(now, tokens, now.Sub(w.started))
	delete(a.running, w)
	a.measure()
	a.mu.Unlock()
	if cleared {
		a.member.AddEvidence(clearance(a.settings.Name, w.request.GetFingerprint(), now))
	}
	a.conclude(w, end, refusal)
}

func (a *Agent) conclude(w *work, end End, refusal *peerpb.Refusal) {
	if w.bound && refusal.GetOutcome() == peerpb.Outcome_OUTCOME_NOTRUN {
		a.table.Never(w.request.GetId(), w.request.GetSend())
	}
	w.close(end, refusal)
	if w.bound {
		a.table.Finish(w.request.GetId(), w.answer())
	}
	w.cancel()
}
