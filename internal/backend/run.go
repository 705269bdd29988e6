package backend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Errors of work that left the queue and was not sent.
var (
	errDeadline       = errors.Wrap(ErrNotSent, "deadline is over")
	errBindingExpired = errors.Wrap(ErrNotSent, "binding is too old")
)

// dispatchQueued starts queued work while the backend server has free slots.
func (a *Agent) dispatchQueued() {
	for {
		a.mu.Lock()
		a.refreshConfig()
		w, dropped := a.next()
		a.mu.Unlock()
		a.rejectAll(dropped)
		if w == nil {
			return
		}
		a.workers.Go(func() { a.execute(w) })
	}
}

// next removes from the queue the work to start now, if any, and the work to reject; mu is held.
func (a *Agent) next() (start *work, dropped []*work) {
	now := a.clock.Now()
	if state := a.currentState(); state != StateLive {
		return nil, a.drainQueue(state)
	}
	for _, job := range a.queue.TakeExpired(now) {
		job.Value.refusal = notRun(ReasonDeadline, 0)
		dropped = append(dropped, job.Value)
	}
	if !a.hasFreeSlot(now) {
		return nil, dropped
	}
	if len(a.suspectQueue) > 0 {
		return a.startIsolated(), dropped
	}
	for {
		job, ok := a.queue.Pop(now)
		if !ok {
			return nil, dropped
		}
		w := job.Value
		if w.ctx.Err() != nil {
			w.refusal = notRun(ReasonCancel, 0)
			dropped = append(dropped, w)
			continue
		}
		if w.request.GetSuspect() || a.suspects.Suspected(now, w.request.GetFingerprint()) {
			a.suspectQueue = append(a.suspectQueue, w)
			return a.startIsolated(), dropped
		}
		a.markRunning(w)
		return w, dropped
	}
}

// hasFreeSlot reports whether the backend server may get one more request; mu is held.
func (a *Agent) hasFreeSlot(now clock.Time) bool {
	if a.suspended || a.isolated {
		return false
	}
	if !a.verifyProcess(now) {
		if a.queue.Len() > 0 || len(a.suspectQueue) > 0 {
			a.startProbe()
		}
		return false
	}
	return uint32(len(a.running)) < a.slowStart.Window(now)
}

// verifyProcess reports whether the last load report describes the backend server's current process; mu is held.
// It suspends dispatch if the epoch has changed since that report. A protocol without epochs can't tell, so running
// requests or a report not older than maxIdleReportAge count as proof.
func (a *Agent) verifyProcess(now clock.Time) bool {
	if a.protocol.Epoch == nil {
		return len(a.running) > 0 || now.Sub(a.loadedAt) <= maxIdleReportAge
	}
	if a.protocol.Epoch() == a.load.Epoch {
		return true
	}
	a.suspend()
	return false
}

// suspend stops dispatch until verifyReport accepts a report; mu is held.
func (a *Agent) suspend() {
	a.suspended = true
	a.suspensions++
	a.suspendedAt = a.clock.Now()
}

// startIsolated starts the first queued suspect if nothing else runs; mu is held.
func (a *Agent) startIsolated() *work {
	if len(a.running) > 0 {
		return nil
	}
	w := a.suspectQueue[0]
	a.suspectQueue = a.suspectQueue[1:]
	a.isolated = true
	a.markRunning(w)
	return w
}

func (a *Agent) markRunning(w *work) {
	w.incarnation = a.load.Incarnation
	w.epoch = a.load.Epoch
	w.started = a.clock.Now()
	a.telemetry.Metrics.TeamTokens.Get(w.request.GetTeam()).Add(int(w.request.GetTokens()))
	a.telemetry.Metrics.QueueWait.Get(w.request.GetTeam()).Update(float64(w.started.Sub(w.arrived)))
	a.running[w] = struct{}{}
	a.serviceMeter.Start(w.started)
	a.updateThroughput()
}

// updateThroughput informs the throughput meter whether the window is full now; mu is held.
func (a *Agent) updateThroughput() {
	now := a.clock.Now()
	a.throughput.update(now, uint32(len(a.running)) >= a.slowStart.Window(now))
}

// execute runs work at the backend server, records its result and dispatches queued work.
func (a *Agent) execute(w *work) {
	ctx, span := a.telemetry.Tracer.Start(w.ctx, w.request.GetTrace(), "backend")
	defer span.End()
	summary, err := a.dispatch(ctx, w)
	if err != nil {
		span.Fail(err)
	}
	refusal := a.refusalFor(w, err)
	w.closeIdempotent(summary, refusal)
	a.cancelAtBackend(w, err)
	a.finish(w, summary, refusal)
	a.dispatchQueued()
}

// cancelAtBackend cancels a task whose answer is incomplete,
// so that its slot is not reused while the task still runs at the backend server.
func (a *Agent) cancelAtBackend(w *work, err error) {
	if err == nil || a.protocol.Cancel == nil || errors.Is(err, ErrNotSent) {
		return
	}
	if err := a.protocol.Cancel(w.root, w.request.GetId()); err != nil {
		level.Debug(a.telemetry.Logger).Log("msg", "cancel at backend server failed, slot is freed", "id", w.request.GetId(), "err", err)
	}
}

// dispatch rechecks the deadline and the binding, which may have expired in the queue, and runs the work.
func (a *Agent) dispatch(ctx context.Context, w *work) (summary Summary, err error) {
	now := a.clock.Now()
	if now >= w.deadline {
		return Summary{}, errDeadline
	}
	if w.bound && !a.table.HandOver(now, w.token, w.request.GetId()) {
		return Summary{}, errBindingExpired
	}
	return a.runTask(ctx, w)
}

// runTask runs the work; a streamed answer is aborted with ErrStalled after stallTimeout without an event.
func (a *Agent) runTask(ctx context.Context, w *work) (summary Summary, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	task := Task{
		ID:       w.request.GetId(),
		Method:   w.request.GetMethod(),
		Path:     w.request.GetPath(),
		Body:     w.request.GetBody(),
		Priority: w.request.GetPriority(),
		Resume:   w.request.GetResume(),
		Epoch:    w.epoch,
		MaxBytes: a.settings.Limits.MaxEventBytes,
	}
	if !w.request.GetStream() {
		task.MaxBytes = a.settings.Limits.MaxBodyBytes
		return a.runToCompletion(w, task)
	}
	timer := newStallTimer(a.stallTimeout(), func() { cancel(ErrStalled) })
	defer timer.stop()
	summary, err = a.protocol.Run(ctx, task, func(e Event) error {
		timer.pause()
		defer timer.resume()
		return w.emit(e)
	})
	if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
		return summary, errors.Wrap(ErrStalled, "run")
	}
	return summary, err
}

// runToCompletion runs a task until its answer is complete, but at most for OutcomeRetention, even if the entry has
// disconnected: a plain service can't cancel it, so it occupies its slot until then.
func (a *Agent) runToCompletion(w *work, task Task) (summary Summary, err error) {
	ctx, cancel := context.WithTimeout(w.root, a.settings.Timing.OutcomeRetention.Duration())
	defer cancel()
	return a.protocol.Run(ctx, task, w.emit)
}

// stallTimeout returns the milliseconds without an event after which an answer counts as stalled.
func (a *Agent) stallTimeout() clock.Span {
	s := a.member.State().Objects.Services[a.settings.Backend.Service]
	if s != nil && s.StallTimeout > 0 {
		return clock.Span(s.StallTimeout)
	}
	return a.settings.Timing.StallTimeout
}

// refusalFor returns the refusal for an error of dispatch, or nil for a complete answer.
func (a *Agent) refusalFor(w *work, err error) *peerpb.Refusal {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotSent) {
		return a.refusalForUnsent(w, err)
	}
	reason := ReasonTruncated
	switch {
	case errors.Is(err, ErrStalled):
		reason = ReasonStalled
	case errors.Is(err, ErrMismatch):
		reason = ReasonMismatch
		a.telemetry.Metrics.DroppedAnswers.Get(ReasonMismatch).Inc()
	case w.ctx.Err() != nil:
		reason = ReasonCancel
	case a.detectCrash(w):
		reason = ReasonCrash
	}
	refusal := &peerpb.Refusal{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
	if reason == ReasonCrash {
		refusal.Evidence = a.member.Evidence()
	}
	return refusal
}

// refusalForUnsent returns the refusal of work of which no byte was sent. After a failed dial the reason is down, and
// detectCrash probes the backend server.
func (a *Agent) refusalForUnsent(w *work, err error) *peerpb.Refusal {
	switch {
	case errors.Is(err, errDeadline) || a.clock.Now() >= w.deadline:
		return notRun(ReasonDeadline, 0)
	case errors.Is(err, errBindingExpired):
		return notRun(binding.ReasonExpired, 0)
	case w.ctx.Err() != nil:
		return notRun(ReasonCancel, 0)
	case errors.Is(err, ErrRestarted):
		a.mu.Lock()
		a.suspend()
		a.startProbe()
		a.mu.Unlock()
		return notRun(ReasonDown, unavailableRetryAfter)
	}
	a.detectCrash(w)
	return notRun(ReasonDown, unavailableRetryAfter)
}

// finish frees the work's slot and records its result.
func (a *Agent) finish(w *work, summary Summary, refusal *peerpb.Refusal) {
	now := a.clock.Now()
	cleared := false
	a.mu.Lock()
	a.isolated = false // if w ran isolated, it was the only running work
	tokens := uint32(0)
	if refusal == nil {
		tokens = max(w.request.GetTokens(), 1)
		a.slowStart.Done(now, tokens)
		cleared = a.suspects.Suspected(now, w.request.GetFingerprint())
		a.suspects.RecordCompleted(now, w.request.GetFingerprint())
		a.throughput.addTokens(tokens)
	}
	a.serviceMeter.Done(now, tokens, now.Sub(w.started))
	delete(a.running, w)
	a.updateThroughput()
	a.mu.Unlock()
	if cleared {
		a.member.AddEvidence(runReport(a.settings.Name, w.request.GetFingerprint(), now))
	}
	a.recordResult(w, summary, refusal)
}

func (a *Agent) recordResult(w *work, summary Summary, refusal *peerpb.Refusal) {
	w.close(summary, refusal) // must precede the table calls, which wake streams that read the refusal
	if w.bound && refusal.GetOutcome() == peerpb.Outcome_OUTCOME_NOTRUN {
		a.table.Withdraw(w.request.GetId(), w.request.GetSend())
	}
	if w.bound {
		a.table.Finish(w.request.GetId(), w.response())
	}
	w.cancel()
}
