package backend

import (
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Reasons in refusals that the agent itself issues.
const (
	ReasonDown        = "down"      // the backend server doesn't answer
	ReasonService     = "service"   // this backend server runs another service
	ReasonDeadline    = "late"      // the deadline has passed
	ReasonQuarantined = "condemned" // the request's content is quarantined for crashing backend servers
	ReasonCrash       = "crash"     // the backend server crashed under the request
	ReasonTruncated   = "cut"       // the answer was truncated
	ReasonStalled     = "stall"     // the answer made no progress
	ReasonMismatch    = "foreign"   // the answer belongs to another request
	ReasonCancel      = "cancel"    // the entry cancelled the request
	ReasonBinding     = "binding"   // the binding can't be decoded
	ReasonTeam        = "team"      // the request has no team or no identifier
)

// unavailableRetryAfter is the retry delay in refusals that are caused by the agent's state.
const unavailableRetryAfter = 500 * clock.Millisecond

// enqueue admits work to the queue, or returns a refusal, which proves that the work was not sent.
func (a *Agent) enqueue(w *work) (refusal *peerpb.Refusal) {
	a.mu.Lock()
	a.refreshConfig()
	refusal, evicted := a.enqueueLocked(w)
	a.mu.Unlock()
	a.rejectAll(evicted)
	if refusal == nil {
		a.dispatchQueued()
	}
	return refusal
}

// enqueueLocked is the part of enqueue that needs mu; the caller rejects the evicted work after unlocking.
func (a *Agent) enqueueLocked(w *work) (refusal *peerpb.Refusal, evicted []*work) {
	now := a.clock.Now()
	if w.request.GetService() != a.settings.Backend.Service {
		return notRun(ReasonService, 0), nil
	}
	if state := a.currentState(); state != StateLive {
		return notRun(state, unavailableRetryAfter), nil
	}
	if retryAfter, quarantined := a.suspects.Quarantined(now, w.request.GetFingerprint()); quarantined {
		return quarantineRefusal(retryAfter), nil
	}
	a.queue.SetTokenRate(a.throughput.rate())
	err := a.queue.Push(now, a.job(w))
	for _, j := range a.queue.TakeEvicted() {
		evicted = append(evicted, j.Value)
		j.Value.refusal = notRun(balance.ReasonOverShare, unavailableRetryAfter)
	}
	var rejection *balance.RejectedError
	if errors.As(err, &rejection) {
		return notRun(rejection.Reason, rejection.RetryAfter), evicted
	}
	return nil, evicted
}

func (a *Agent) job(w *work) balance.Job[*work] {
	return balance.Job[*work]{
		ID:       w.key(),
		Team:     w.request.GetTeam(),
		Priority: w.request.GetPriority(),
		Deadline: w.deadline,
		Tokens:   max(w.request.GetTokens(), 1),
		Value:    w,
	}
}

// quarantineRefusal returns the refusal of quarantined content. Its outcome is FAILED and not NOTRUN, because the
// content may have run at other backend servers before.
func quarantineRefusal(retryAfter clock.Span) *peerpb.Refusal {
	return &peerpb.Refusal{
		Outcome: peerpb.Outcome_OUTCOME_FAILED,
		Reason:  ReasonQuarantined,
		After:   uint64(max(retryAfter, 0)),
	}
}

// drainQueue empties the queue and the suspect queue, and returns their work with the refusal set to the reason. mu is
// held; the caller passes the work to rejectAll after unlocking.
func (a *Agent) drainQueue(reason string) (rejected []*work) {
	now := a.clock.Now()
	for {
		job, ok := a.queue.Pop(now)
		if !ok {
			break
		}
		rejected = append(rejected, job.Value)
	}
	rejected = append(rejected, a.suspectQueue...)
	a.suspectQueue = nil
	for _, w := range rejected {
		w.refusal = notRun(reason, unavailableRetryAfter)
	}
	return rejected
}

// rejectAll rejects work that left the queue without being sent, with the refusal set on it.
func (a *Agent) rejectAll(rejected []*work) {
	for _, w := range rejected {
		a.reject(w, w.refusal)
	}
}

// removeQueued removes work from the queue after its deadline or after its entry disconnected, and rejects it.
func (a *Agent) removeQueued(w *work) {
	a.mu.Lock()
	_, waiting := a.queue.Remove(w.key())
	a.mu.Unlock()
	if waiting {
		a.reject(w, notRun(ReasonDeadline, 0))
	}
}

// reject ends work that was not sent to the backend server.
func (a *Agent) reject(w *work, refusal *peerpb.Refusal) {
	a.telemetry.Metrics.Rejections.Get(refusal.GetReason()).Inc()
	w.close(Summary{}, refusal) // must precede table.Reject, which wakes streams that read the refusal
	if w.bound {
		a.table.Reject(w.request.GetId(), w.request.GetSend())
	}
	w.cancel()
}
