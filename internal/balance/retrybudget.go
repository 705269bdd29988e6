package balance

import "carawaypick/pkg/clock"

const (
	// maxAccounts is the maximum number of teams with their own account; further teams share one.
	maxAccounts = 4096
	// accountIdleTimeout is the time after which an unused account is removed.
	accountIdleTimeout = 10 * clock.Minute
	// sharedAccount is the name of the account of teams beyond maxAccounts.
	sharedAccount = ""
)

// RetryBudget limits retries to a fraction of the requests, per team and in total.
type RetryBudget struct {
	ratio    float64
	burst    float64
	total    float64
	accounts map[string]*account
	sweptAt  clock.Time
}

type account struct {
	retries float64
	usedAt  clock.Time
}

// NewRetryBudget returns a budget of ratio retries per request that starts with burst retries and saves up no more than burst.
func NewRetryBudget(ratio float64, burst uint32) *RetryBudget {
	return &RetryBudget{
		ratio:    ratio,
		burst:    float64(burst),
		total:    float64(burst),
		accounts: make(map[string]*account),
	}
}

// Deposit adds the retries earned by a first attempt of team.
func (b *RetryBudget) Deposit(now clock.Time, team string) {
	a := b.account(now, team)
	a.retries = min(a.retries+b.ratio, b.burst)
	b.total = min(b.total+b.ratio, b.burst)
}

// TryWithdraw withdraws one retry of team, or returns false if the budget is used up.
func (b *RetryBudget) TryWithdraw(now clock.Time, team string) bool {
	a := b.account(now, team)
	if a.retries < 1 || b.total < 1 {
		return false
	}
	a.retries--
	b.total--
	return true
}

func (b *RetryBudget) account(now clock.Time, team string) *account {
	b.sweep(now)
	a := b.accounts[team]
	if a == nil && len(b.accounts) >= maxAccounts {
		team = sharedAccount
		a = b.accounts[team]
	}
	if a == nil {
		a = &account{retries: b.burst}
		b.accounts[team] = a
	}
	a.usedAt = now
	return a
}

// sweep removes idle accounts.
func (b *RetryBudget) sweep(now clock.Time) {
	if now.Sub(b.sweptAt) < accountIdleTimeout {
		return
	}
	b.sweptAt = now
	for team, a := range b.accounts {
		if now.Sub(a.usedAt) >= accountIdleTimeout {
			delete(b.accounts, team)
		}
	}
}
