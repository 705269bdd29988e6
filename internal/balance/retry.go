package balance

import "carawaypick/pkg/clock"

const (
	// budgetTeams bounds the teams that a budget tells apart; later ones share one account.
	budgetTeams = 4096
	// budgetIdle is the time in ms after which an unused account is forgotten.
	budgetIdle = 10 * clock.Minute
	// otherTeams is the account of teams beyond the bound.
	otherTeams = ""
)

// Budget limits retries to a part of the requests, for each team and in all.
type Budget struct {
	ratio float64
	burst float64
	all   float64
	teams map[string]*account
	swept clock.Time
}

type account struct {
	left float64
	used clock.Time
}

// NewBudget returns a budget of ratio retries a request, with burst retries saved up at most and at first.
func NewBudget(ratio float64, burst uint32) *Budget {
	return &Budget{
		ratio: ratio,
		burst: float64(burst),
		all:   float64(burst),
		teams: make(map[string]*account),
	}
}

// Earn counts a first attempt of team.
func (b *Budget) Earn(now clock.Time, team string) {
	a := b.account(now, team)
	a.left = min(a.left+b.ratio, b.burst)
	b.all = min(b.all+b.ratio, b.burst)
}

// Spend takes one retry of team from the budget, or reports that there is none.
func (b *Budget) Spend(now clock.Time, team string) bool {
	a := b.account(now, team)
	if a.left < 1 || b.all < 1 {
		return false
	}
	a.left--
	b.all--
	return true
}

func (b *Budget) account(now clock.Time, team string) *account {
	b.sweep(now)
	a := b.teams[team]
	if a == nil && len(b.teams) >= budgetTeams {
		team = otherTeams
		a = b.teams[team]
	}
	if a == nil {
		a = &account{left: b.burst}
		b.teams[team] = a
	}
	a.used = now
	return a
}

// sweep forgets idle accounts.
func (b *Budget) sweep(now clock.Time) {
	if now.Sub(b.swept) < budgetIdle {
		return
	}
	b.swept = now
	for team, a := range b.teams {
		if now.Sub(a.used) >= budgetIdle {
			delete(b.teams, team)
		}
	}
}
