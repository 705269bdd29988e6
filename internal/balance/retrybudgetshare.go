package balance

import (
	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

// RetryBudgetShare is one entry's part of the retries that all entries together may make in a window.
//
// Each window of an entry has at most what its own requests in that window earn, and the whole retries of the slack that are
// dealt to it. So the total stays within the bound, at any number of entries.
type RetryBudgetShare struct {
	Service string     // by whose name the slack is dealt
	Ratio   float64    // retries earned per request
	Slack   float64    // additional retries per window, for all entries together
	Window  clock.Span // ms
	Start   clock.Time // of the entry, which does not know what it spent before

	requests SendLog
	retries  SendLog
}

// RecordRequest records a first attempt.
func (r *RetryBudgetShare) RecordRequest(now clock.Time) {
	r.requests.Add(now, r.Window)
}

// TryWithdraw withdraws one retry, or returns false if the budget is used up; the slack is dealt to the entries.
func (r *RetryBudgetShare) TryWithdraw(now clock.Time, entries *EntrySet) bool {
	allowed := r.Ratio*float64(r.requests.Within(now, r.Window)) + float64(r.slack(now, entries))
	if float64(r.retries.Within(now, r.Window)+1) > allowed {
		return false
	}
	r.retries.Add(now, r.Window)
	return true
}

// slack returns the retries of the slack that this entry has in a window, none in its first one.
func (r *RetryBudgetShare) slack(now clock.Time, entries *EntrySet) int {
	if now.Sub(r.Start) < r.Window || r.Slack < 1 {
		return 0
	}
	rate := ServerRate{Requests: int(r.Slack), Window: r.Window}
	return rate.Part(xxhash.Sum64String(r.Service), entries)
}
