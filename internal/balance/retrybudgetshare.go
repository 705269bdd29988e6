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

	retries    float64 // available
	refilledAt clock.Time
	started    bool
}

// Deposit adds the retries earned by a first attempt; fraction, from 0 to 1, is this entry's part of the slack.
func (r *RetryBudgetShare) Deposit(now clock.Time, fraction float64) {
	r.refill(now, fraction)
	r.retries = min(r.retries+r.Ratio, r.capacity(fraction))
}

// TryWithdraw withdraws one retry, or returns false if the budget is used up; fraction is as in Deposit.
func (r *RetryBudgetShare) TryWithdraw(now clock.Time, fraction float64) bool {
	r.refill(now, fraction)
	if r.retries < 1 {
		return false
	}
	r.retries--
	return true
}

// refill adds the slack accrued since the last call.
//
// Half of this entry's part of the slack accrues per window. At most the same amount is saved up, so that the slack
// spent in one window never exceeds this entry's part.
func (r *RetryBudgetShare) refill(now clock.Time, fraction float64) {
	if r.started && r.Window > 0 {
		r.retries += r.Slack * fraction / 2 * float64(now.Sub(r.refilledAt)) / float64(r.Window)
		r.retries = min(r.retries, r.capacity(fraction))
	}
	r.started, r.refilledAt = true, now
}

// capacity returns the maximum number of retries that may be saved up.
func (r *RetryBudgetShare) capacity(fraction float64) float64 {
	return r.Slack * fraction / 2
}
