package balance

import "carawaypick/pkg/clock"

// RetryBudgetShare is one entry's part of the retries that all entries together may make in a window.
//
// Each entry starts with an empty budget, so that the total stays within the bound without coordination even if many
// entries restart at the same time.
type RetryBudgetShare struct {
	Ratio  float64    // retries earned per request
	Slack  float64    // additional retries per window, for all entries together
	Window clock.Span // ms

	tokens     float64
	refilledAt clock.Time
	started    bool
}

// Deposit adds the retries earned by a first attempt; part is this entry's part of the slack.
func (r *RetryBudgetShare) Deposit(now clock.Time, part float64) {
	r.refill(now, part)
	r.tokens = min(r.tokens+r.Ratio, r.capacity(part))
}

// TryWithdraw withdraws one retry, or returns false if the budget is used up.
func (r *RetryBudgetShare) TryWithdraw(now clock.Time, part float64) bool {
	r.refill(now, part)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refill adds the slack accrued since the last call: one half accrues over a window, the other half may be saved up.
func (r *RetryBudgetShare) refill(now clock.Time, part float64) {
	if r.started && r.Window > 0 {
		r.tokens += r.Slack * part / 2 * float64(now.Sub(r.refilledAt)) / float64(r.Window)
		r.tokens = min(r.tokens, r.capacity(part))
	}
	r.started, r.refilledAt = true, now
}

// capacity returns the maximum number of retries that may be saved up.
func (r *RetryBudgetShare) capacity(part float64) float64 {
	return r.Slack * part / 2
}
