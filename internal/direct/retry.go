package direct

import (
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// retryPart is the part of the allowed ratio that is used: an attempt that fails at the end of a window counts in the next.
const retryPart = 0.8

// retryBudget is this entry's part of the retries that all entries together may make, by service.
type retryBudget struct {
	settings Settings
	part     func() float64 // this entry's part of a sum over all entries

	mu       sync.Mutex
	services map[string]*balance.RetryShare
}

func newRetryBudget(s Settings, part func() float64) *retryBudget {
	return &retryBudget{settings: s, part: part, services: make(map[string]*balance.RetryShare)}
}

// service returns the share of the service; mu is held.
func (b *retryBudget) service(name string) *balance.RetryShare {
	share := b.services[name]
	if share == nil {
		share = &balance.RetryShare{Ratio: b.settings.RetryRatio * retryPart, Slack: b.settings.RetrySlack, Window: b.settings.RetryWindow}
		b.services[name] = share
	}
	return share
}

// first counts the first attempt of a request.
func (b *retryBudget) first(c *call, now clock.Time) {
	if c.attempts > 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(c.service.Name).Earn(now, b.part())
}

// spend takes one retry from the budget, or reports that there is none.
func (b *retryBudget) spend(c *call, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(c.service.Name).Spend(now, b.part())
}
