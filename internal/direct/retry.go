package direct

import (
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// leastEntries is the number of entries among which the slack of the retry budget is divided at least, since an entry
// that is cut off can't count the others.
const leastEntries = 12

// retryBudget is this entry's part of the retries that all entries together may make, by service.
type retryBudget struct {
	ratio float64
	burst uint32

	mu       sync.Mutex
	services map[string]*balance.Budget
}

func newRetryBudget(s Settings) *retryBudget {
	return &retryBudget{ratio: s.RetryRatio / 2, burst: uint32(s.RetrySlack / leastEntries), services: make(map[string]*balance.Budget)}
}

func (b *retryBudget) service(name string) *balance.Budget {
	budget := b.services[name]
	if budget == nil {
		budget = balance.NewBudget(b.ratio, b.burst)
		b.services[name] = budget
	}
	return budget
}

// first counts the first attempt of a request.
func (b *retryBudget) first(c *call, now clock.Time) {
	if c.attempts > 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(c.service.Name).Earn(now, c.team.Name)
}

// spend takes one retry from the budget, or reports that there is none.
func (b *retryBudget) spend(c *call, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(c.service.Name).Spend(now, c.team.Name)
}
