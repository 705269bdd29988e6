package gateway

import (
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// usedRatio is the fraction of the allowed retry ratio that is used, because the retry of an attempt that fails at the
// end of a window counts in the next window.
const usedRatio = 0.8

// retryBudget is this entry's share, by service, of the retries that all entries may make.
type retryBudget struct {
	settings Settings
	start    clock.Time
	entries  func() *balance.EntrySet // returns the entries among which the budget of all is divided

	mu       sync.Mutex
	services map[string]*balance.RetryBudgetShare
}

func newRetryBudget(s Settings, start clock.Time, entries func() *balance.EntrySet) *retryBudget {
	return &retryBudget{settings: s, start: start, entries: entries, services: make(map[string]*balance.RetryBudgetShare)}
}

// budgetOf returns the budget of the service; mu is held.
func (b *retryBudget) budgetOf(name string) *balance.RetryBudgetShare {
	budget := b.services[name]
	if budget == nil {
		budget = &balance.RetryBudgetShare{Service: name, Ratio: b.settings.RetryRatio * usedRatio, Slack: b.settings.RetrySlack, Window: b.settings.RetryWindow, Start: b.start}
		b.services[name] = budget
	}
	return budget
}

// recordRequest adds to the budget for the first attempt of c; it ignores later attempts.
func (b *retryBudget) recordRequest(c *call, now clock.Time) {
	if c.attempts > 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(c.service.Name).RecordRequest(now)
}

// spend takes one retry from the budget; it returns false if none is left.
func (b *retryBudget) spend(c *call, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(c.service.Name).TryWithdraw(now, b.entries())
}
