package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	crowdHeadroom = 0.86             // part of the pause between events that a pass may take: prompts are read in between
	crowdFade     = 8 * clock.Second // after which a peak of the cost counts for half
	crowdPrior    = 3.0              // cost of a request in a pass before any is measured, times what the engine names
	crowdLeast    = 1.0              // requests that a rank may run however slow it is
)

// Crowd limits the requests that the engines of a lock-step group run at once, so that a pass stays shorter than the
// pause that callers put up with.
//
// It answers the sudden rise of a pass when other experts are liked: each request then costs more of it, at once and
// for all that run. So the limit rests on the highest cost seen lately, not on the present one.
type Crowd struct {
	Base  float64 // ms of a pass without requests
	Prior float64 // ms that a request adds to it where the ranks carry the same

	peak float64
	seen clock.Time
}

// Observe takes in the mean pause in ms between the events of streams while each engine ran so many requests.
func (c *Crowd) Observe(now clock.Time, gap, running float64) {
	if running <= 0 || gap <= c.Base {
		return
	}
	cost := (gap - c.Base) / running
	c.peak = max(c.cost(now), cost)
	c.seen = now
}

// cost returns the ms that a request adds to a pass, by the faded peak.
func (c *Crowd) cost(now clock.Time) float64 {
	if c.peak == 0 {
		return 0
	}
	return c.peak * math.Exp2(-float64(now.Sub(c.seen))/float64(crowdFade))
}

// Limit returns the requests that each engine may run with pauses of at most gap ms, between 1 and its slots.
func (c *Crowd) Limit(now clock.Time, gap clock.Span, slots int) float64 {
	if gap <= 0 {
		return float64(slots)
	}
	cost := max(c.cost(now), c.Prior)
	if c.peak == 0 {
		cost = c.Prior * crowdPrior
	}
	if cost <= 0 {
		return float64(slots)
	}
	limit := (float64(gap)*crowdHeadroom - c.Base) / cost
	return min(max(limit, crowdLeast), float64(slots))
}
