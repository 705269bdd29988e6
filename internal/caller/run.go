package caller

import (
	"context"
	"time"

	"carawaypick/internal/balance"
	"carawaypick/internal/operator"
	"carawaypick/pkg/clock"
)

const (
	kindModel   = "model"
	reasonGone  = "gone"                 // the caller went away
	maxAttempts = 8                      // attempts at one call
	resumeWait  = 2 * clock.Second       // longest wait for a backend server that can go on with a stream
	resumePause = 50 * clock.Millisecond // between two looks for one
	askAgain    = 3                      // attempts at the one agent of a call that may not be repeated
)

// run is one call on its way through the entry.
type run struct {
	entry   *Entry
	call    *Call
	answer  *answer
	trace   string
	number  uint32 // attempts made
	ran     bool   // an attempt may have run
	suspect bool   // a backend server crashed under the call
	exclude []string
	waited  clock.Span
}

// route brings the call to its end: a whole answer or a refusal.
func (r *run) route(ctx context.Context) verdict {
	if !r.call.Idempotent {
		return r.routeBound(ctx)
	}
	r.entry.budget.earn(r.call.Team)
	for {
		if after, condemned := r.entry.condemned(r.call.Content); condemned {
			return verdict{outcome: Failed, reason: saidCondemned, after: after}
		}
		t, ok := r.choose(ctx)
		if !ok {
			return r.refuse(verdict{outcome: NotRun, reason: ReasonNone, after: refusedAfter})
		}
		v := r.attempt(ctx, t)
		r.note("attempt", t.Name, v.reason)
		if v.whole {
			r.entry.whole(r.call.Content)
			return v
		}
		r.learn(t, v)
		if !r.again(ctx, v) {
			return r.refuse(v)
		}
	}
}

// learn keeps what an attempt without a whole answer says about the next.
func (r *run) learn(t Target, v verdict) {
	r.exclude = append(r.exclude, t.Name)
	if v.outcome != NotRun {
		r.ran = true
	}
	if v.reason == saidCrash {
		r.suspect = true
	}
}

// again tells whether another attempt is allowed after v.
func (r *run) again(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || v.outcome == Failed || v.reason == reasonGone || v.reason == ReasonHash {
		return false
	}
	if r.number >= maxAttempts {
		return false
	}
	if !turnedAway(v) && !r.entry.budget.spend(r.call.Team) {
		r.entry.telemetry.Metrics.Retries.Get(ReasonBudget).Inc()
		return false
	}
	r.entry.telemetry.Metrics.Retries.Get(v.reason).Inc()
	if r.answer.count > 0 {
		r.entry.telemetry.Metrics.Resumes.Get(v.reason).Inc()
	}
	return true
}

// turnedAway tells whether an attempt cost the backend server nothing, because the agent takes no work at all.
func turnedAway(v verdict) bool {
	if v.outcome != NotRun {
		return false
	}
	switch v.reason {
	case saidLeaving, saidOut, saidDown, saidStarting, ReasonLost:
		return true
	}
	return false
}

// refuse turns the last verdict into the truth about the whole call.
func (r *run) refuse(v verdict) verdict {
	if v.outcome == NotRun && r.ran {
		v.outcome = Unknown
	}
	return v
}

// choose picks the next agent; a stream that has begun waits a while for one, and so does
// any call of an entry that has just started and has not heard of its agents yet.
func (r *run) choose(ctx context.Context) (t Target, ok bool) {
	for {
		t, ok = r.pick()
		worth := r.answer.count > 0 || r.entry.board.Unheard(r.call.Service)
		if ok || !worth || r.waited >= resumeWait {
			return t, ok
		}
		r.exclude = nil
		if !r.pause(ctx) {
			return Target{}, false
		}
	}
}

func (r *run) pick() (t Target, ok bool) {
	targets, candidates := r.entry.board.Candidates(r.call.Service, r.entry.member.State())
	i, ok := r.entry.chooser.Pick(balance.Call{
		Fingerprint: r.call.Content,
		Prefix:      r.call.Prefix,
		Tokens:      r.call.Tokens,
		Zone:        r.entry.settings.Zone,
		Suspect:     r.suspect || r.entry.suspected(r.call.Content),
		Exclude:     r.exclude,
	}, candidates)
	if !ok {
		return Target{}, false
	}
	r.chose(candidates[i])
	return targets[i], true
}

// chose keeps a choice for metrics and operators.
func (r *run) chose(c balance.Candidate) {
	m := r.entry.telemetry.Metrics
	m.Choices.Get(c.Zone).Inc()
	m.Load.Get(r.call.Service).Update(float64(c.Outstanding))
	d := r.decision("choose", c.Name, "")
	d.Attempt++
	d.Candidates = []operator.Candidate{{
		Name:        c.Name,
		Zone:        c.Zone,
		Outstanding: c.Outstanding,
		Grant:       c.Grant,
		Load:        c.Load,
		Age:         c.Age,
	}}
	r.entry.ring.Add(d)
}

// routeBound asks the one agent that may run the call, again where its word was lost.
func (r *run) routeBound(ctx context.Context) verdict {
	t, ok := r.home(ctx)
	if !ok || t.Address != r.call.Token.Address {
		return r.unproven(verdict{outcome: NotRun, reason: ReasonNone, after: refusedAfter})
	}
	for {
		v := r.attempt(ctx, t)
		r.note("attempt", t.Name, v.reason)
		if v.whole || v.reason == reasonGone {
			return v
		}
		spoken := v.reason != ReasonLost && v.reason != ReasonStall && v.reason != ReasonLate
		if spoken {
			return v
		}
		if v.outcome != NotRun {
			r.ran = true
		}
		if ctx.Err() != nil || r.number >= askAgain {
			return r.unproven(r.refuse(v))
		}
	}
}

// home returns the agent that the binding names; an entry that has just started waits a while for its list.
func (r *run) home(ctx context.Context) (t Target, ok bool) {
	for {
		t, ok = r.entry.board.Target(r.call.Token.Agent)
		if ok || !r.entry.board.Unheard(r.call.Service) || r.waited >= resumeWait {
			return t, ok
		}
		if !r.pause(ctx) {
			return Target{}, false
		}
	}
}

// pause waits a little; it tells false where the call's time is over.
func (r *run) pause(ctx context.Context) bool {
	r.waited += resumePause
	select {
	case <-ctx.Done():
		return false
	case <-time.After(resumePause.Duration()):
		return true
	}
}

// unproven allows the entry's own "not run" only where the caller says that no send went before.
func (r *run) unproven(v verdict) verdict {
	if v.outcome == NotRun && !r.call.Idempotent && r.call.Send != 1 {
		return verdict{outcome: Unknown, reason: ReasonUnproven, after: v.after}
	}
	return v
}

func (r *run) note(kind, backend, reason string) {
	r.entry.ring.Add(r.decision(kind, backend, reason))
}

func (r *run) decision(kind, backend, reason string) operator.Decision {
	return operator.Decision{
		Time:    clock.Wall(),
		Process: r.entry.settings.Name,
		Key:     r.call.ID,
		Attempt: r.number,
		Kind:    kind,
		Backend: backend,
		Reason:  reason,
		Ticket:  uint64(r.entry.member.State().Number),
	}
}
