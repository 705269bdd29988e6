package backend

import (
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Reasons of the agent's own refusals.
const (
	ReasonDown      = "down"      // the backend server doesn't answer
	ReasonService   = "service"   // this backend server runs another service
	ReasonLate      = "late"      // the deadline is over
	ReasonCondemned = "condemned" // this content crashed backend servers
	ReasonCrash     = "crash"     // the backend server crashed under the request
	ReasonCut       = "cut"       // the answer broke off
	ReasonStall     = "stall"     // the answer made no progress
	ReasonForeign   = "foreign"   // the backend server answered another request
	ReasonCancel    = "cancel"    // the entry gave up
	ReasonBinding   = "binding"   // the binding is not readable
	ReasonTeam      = "team"      // the request names no team
)

// downAfter is when a new send makes sense after a refusal for the agent's state.
const downAfter = 500 * clock.Millisecond

// enqueue judges new work and puts it into the queue; the refusal proves that it was not handed over.
func (a *Agent) enqueue(w *work) (refusal *peerpb.Refusal) {
	a.mu.Lock()
	a.refresh()
	refusal, displaced := a.push(w)
	a.mu.Unlock()
	a.settle(displaced)
	if refusal == nil {
		a.pump()
	}
	return refusal
}

// push is enqueue's part under mu.
func (a *Agent) push(w *work) (refusal *peerpb.Refusal, displaced []*work) {
	now := a.clock.Now()
	if w.request.GetService() != a.settings.Backend.Service {
		return notRun(ReasonService, 0), nil
	}
	if state := a.standing(); state != StateLive {
		return notRun(state, downAfter), nil
	}
	if after, condemned := a.suspects.Condemned(now, w.request.GetFingerprint()); condemned {
		return condemnation(after), nil
	}
	a.queue.SetRate(a.pace.rate())
	err := a.queue.Push(now, a.job(w))
	for _, j := range a.queue.Displaced() {
		displaced = append(displaced, j.Value)
		j.Value.refusal = notRun(balance.ReasonShare, downAfter)
	}
	var refused *balance.RefusedError
	if errors.As(err, &refused) {
		return notRun(refused.Reason, refused.After), displaced
	}
	return nil, displaced
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

// condemnation is true although the content may have run at other backend servers before.
func condemnation(after clock.Span) *peerpb.Refusal {
	return &peerpb.Refusal{
		Outcome: peerpb.Outcome_OUTCOME_FAILED,
		Reason:  ReasonCondemned,
		After:   uint64(max(after, 0)),
	}
}

// turnAway empties the queue for a reason; mu is held and the caller settles the result.
func (a *Agent) turnAway(reason string) (refused []*work) {
	now := a.clock.Now()
	for {
		job, ok := a.queue.Pop(now)
		if !ok {
			break
		}
		refused = append(refused, job.Value)
	}
	refused = append(refused, a.aside...)
	a.aside = nil
	for _, w := range refused {
		w.refusal = notRun(reason, downAfter)
	}
	return refused
}

// settle ends work that left the queue without a hand-over.
func (a *Agent) settle(refused []*work) {
	for _, w := range refused {
		a.deny(w, w.refusal)
	}
}

// withdraw takes waiting work whose deadline is over, or whose entry is gone, out of the queue.
func (a *Agent) withdraw(w *work) {
	a.mu.Lock()
	_, waiting := a.queue.Remove(w.key())
	a.mu.Unlock()
	if waiting {
		a.deny(w, notRun(ReasonLate, 0))
	}
}

// deny ends work with a refusal that proves that it was not handed over.
func (a *Agent) deny(w *work, refusal *peerpb.Refusal) {
	a.telemetry.Metrics.Refusals.Get(refusal.GetReason()).Inc()
	w.close(End{}, refusal) // before the table tells those who wait, so that they see the reason
	if w.bound {
		a.table.Refuse(w.request.GetId(), w.request.GetSend())
	}
	w.cancel()
}
