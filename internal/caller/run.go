package caller

import (
	"context"
	"time"

	"carawaypick/internal/balance"
	"carawaypick/internal/operator"
	"carawaypick/pkg/clock"
)

const (
	kindModel         = "model"
	reasonCallerGone  = "gone"                 // the caller disconnected
	maxAttempts       = 8                      // maximum attempts per idempotent call
	maxAgentWait      = 2 * clock.Second       // maximum time per call to wait for an agent to become available
	agentWaitInterval = 50 * clock.Millisecond // time between two checks for an available agent
	maxBoundAttempts  = 3                      // maximum attempts per non-idempotent call, all at the agent of its binding
)

// callRun is the routing of one call, with its attempts.
type callRun struct {
	entry      *Entry
	call       *Call
	answer     *answer
	trace      string
	attempts   uint32     // number of attempts made
	mayHaveRun bool       // an attempt may have run
	suspect    bool       // a backend server crashed while it ran the call
	excluded   []string   // agents that failed the call since its last wait
	waited     clock.Span // total time in ms that the call waited for an agent
}

// route makes attempts until one gets a complete answer or no more are allowed, and returns the final result.
func (r *callRun) route(ctx context.Context) attemptOutcome {
	if !r.call.Idempotent {
		return r.routeBound(ctx)
	}
	r.entry.retryBudget.deposit(r.call.Team)
	for {
		if retryAfter, quarantined := r.entry.quarantined(r.call.Fingerprint); quarantined {
			return attemptOutcome{outcome: OutcomeFailed, reason: agentReasonQuarantined, retryAfter: retryAfter}
		}
		t, ok := r.choose(ctx)
		if !ok {
			return r.overallOutcome(attemptOutcome{outcome: OutcomeNotRun, reason: ReasonNoBackend, retryAfter: defaultRetryAfter})
		}
		result := r.attempt(ctx, t)
		r.record("attempt", t.Name, result.reason)
		if result.complete {
			r.entry.recordCompletedRun(r.call.Fingerprint)
			return result
		}
		r.recordFailure(t, result)
		if !r.mayRetry(ctx, result) {
			return r.overallOutcome(result)
		}
	}
}

// recordFailure records what the next attempts must take into account after a failed one.
func (r *callRun) recordFailure(t Target, result attemptOutcome) {
	r.excluded = append(r.excluded, t.Name)
	if result.outcome != OutcomeNotRun {
		r.mayHaveRun = true
	}
	if result.reason == agentReasonCrash {
		r.suspect = true
	}
}

// mayRetry reports whether another attempt is allowed after the result.
func (r *callRun) mayRetry(ctx context.Context, result attemptOutcome) bool {
	if ctx.Err() != nil || result.outcome == OutcomeFailed || result.reason == reasonCallerGone || result.reason == ReasonHash {
		return false
	}
	if r.attempts >= maxAttempts {
		return false
	}
	if !retryIsFree(result) && !r.entry.retryBudget.tryWithdraw(r.call.Team) {
		r.entry.telemetry.Metrics.Retries.Get(ReasonBudget).Inc()
		return false
	}
	r.entry.telemetry.Metrics.Retries.Get(result.reason).Inc()
	if r.answer.forwarded > 0 {
		r.entry.telemetry.Metrics.Resumes.Get(result.reason).Inc()
	}
	return true
}

// retryIsFree reports whether the retry doesn't count against the budget: the agent accepts no work or could not be
// reached, so the attempt cost the backend server nothing.
func retryIsFree(result attemptOutcome) bool {
	if result.outcome != OutcomeNotRun {
		return false
	}
	switch result.reason {
	case agentReasonLeaving, agentReasonOut, agentReasonDown, agentReasonStarting, ReasonDisconnected:
		return true
	}
	return false
}

// overallOutcome returns the call's result after its last attempt: "notrun" becomes "unknown" if any attempt may have run.
func (r *callRun) overallOutcome(result attemptOutcome) attemptOutcome {
	if result.outcome == OutcomeNotRun && r.mayHaveRun {
		result.outcome = OutcomeUnknown
	}
	return result
}

// choose picks the next agent. While none is available, it waits if an attempt may have run, which would leave the caller
// with "unknown", or if reports of agents are pending, up to maxAgentWait per call. After a wait, agents that failed the call
// may be picked again.
func (r *callRun) choose(ctx context.Context) (t Target, ok bool) {
	for {
		t, ok = r.pick()
		mayAppear := r.answer.forwarded > 0 || r.mayHaveRun || r.entry.tracker.ReportsPending(r.call.Service)
		if ok || !mayAppear || r.waited >= maxAgentWait {
			return t, ok
		}
		r.excluded = nil
		if !r.wait(ctx) {
			return Target{}, false
		}
	}
}

func (r *callRun) pick() (t Target, ok bool) {
	targets, candidates := r.entry.tracker.Candidates(r.call.Service, r.entry.member.State())
	i, ok := r.entry.picker.Pick(balance.PickInfo{
		Fingerprint: r.call.Fingerprint,
		PrefixHash:  r.call.PrefixHash,
		Tokens:      r.call.Tokens,
		Zone:        r.entry.settings.Zone,
		Suspect:     r.suspect || r.entry.isSuspect(r.call.Fingerprint),
		Exclude:     r.excluded,
	}, candidates)
	if !ok {
		return Target{}, false
	}
	r.recordChoice(candidates[i])
	return targets[i], true
}

// recordChoice records a choice in the metrics and for explain.
func (r *callRun) recordChoice(c balance.Candidate) {
	m := r.entry.telemetry.Metrics
	m.Choices.Get(c.Zone).Inc()
	m.ChoiceLoad.Get(r.call.Service).Update(float64(c.Outstanding))
	d := r.newDecision("choose", c.Name, "")
	d.Attempt++
	d.Candidates = []operator.Candidate{{
		Name:        c.Name,
		Zone:        c.Zone,
		Outstanding: c.Outstanding,
		Grant:       c.Grant,
		Load:        c.ReportedTokens,
		Age:         c.ReportAge,
	}}
	r.entry.ring.Add(d)
}

// routeBound sends the call to the agent of its binding, and again if the agent's result was lost.
func (r *callRun) routeBound(ctx context.Context) attemptOutcome {
	t, ok := r.boundAgent(ctx)
	if !ok || t.Address != r.call.Token.Address {
		return r.unknownUnlessFirstSend(attemptOutcome{outcome: OutcomeNotRun, reason: ReasonNoBackend, retryAfter: defaultRetryAfter})
	}
	for {
		result := r.attempt(ctx, t)
		r.record("attempt", t.Name, result.reason)
		if result.complete || result.reason == reasonCallerGone {
			return result
		}
		agentAnswered := result.reason != ReasonDisconnected && result.reason != ReasonStalled && result.reason != ReasonDeadline
		if agentAnswered {
			return result
		}
		if result.outcome != OutcomeNotRun {
			r.mayHaveRun = true
		}
		if ctx.Err() != nil || r.attempts >= maxBoundAttempts {
			return r.unknownUnlessFirstSend(r.overallOutcome(result))
		}
	}
}

// boundAgent returns the agent of the binding. While that agent is unknown and reports of agents are pending, it waits,
// up to maxAgentWait per call.
func (r *callRun) boundAgent(ctx context.Context) (t Target, ok bool) {
	for {
		t, ok = r.entry.tracker.Target(r.call.Token.Agent)
		if ok || !r.entry.tracker.ReportsPending(r.call.Service) || r.waited >= maxAgentWait {
			return t, ok
		}
		if !r.wait(ctx) {
			return Target{}, false
		}
	}
}

// wait blocks for agentWaitInterval, and returns false if ctx ends meanwhile.
func (r *callRun) wait(ctx context.Context) bool {
	r.waited += agentWaitInterval
	select {
	case <-ctx.Done():
		return false
	case <-time.After(agentWaitInterval.Duration()):
		return true
	}
}

// unknownUnlessFirstSend replaces the entry's own "notrun" with "unknown" for a non-idempotent call unless it is the
// first send: the entry can't prove that earlier sends did not run.
func (r *callRun) unknownUnlessFirstSend(result attemptOutcome) attemptOutcome {
	if result.outcome == OutcomeNotRun && !r.call.Idempotent && r.call.Send != 1 {
		return attemptOutcome{outcome: OutcomeUnknown, reason: ReasonUnproven, retryAfter: result.retryAfter}
	}
	return result
}

func (r *callRun) record(kind, backend, reason string) {
	r.entry.ring.Add(r.newDecision(kind, backend, reason))
}

func (r *callRun) newDecision(kind, backend, reason string) operator.Decision {
	return operator.Decision{
		Time:    clock.Wall(),
		Process: r.entry.settings.Name,
		Key:     r.call.ID,
		Attempt: r.attempts,
		Kind:    kind,
		Backend: backend,
		Reason:  reason,
		Ticket:  uint64(r.entry.member.State().Number),
	}
}
