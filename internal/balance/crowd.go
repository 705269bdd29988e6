package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	crowdHeadroom = 0.90                    // part of the pause between events that a pass may take: prompts are read in between
	crowdPressed  = 1.00                    // the same where requests would be late for waiting
	crowdFade     = 15 * clock.Second       // after which a peak of the cost counts for half
	crowdPrior    = 3.0                     // cost of a request in a pass before any is measured, times what the engine names
	crowdReading  = 0.15                    // part of the pause that a pass spends on reading prompts, whatever runs
	crowdRelevant = 0.5                     // part of the pause below which a pass tells nothing of the limit
	crowdHot      = 0.80                    // part of the pause from which nothing is started
	crowdStale    = 300 * clock.Millisecond // age from which an observation no longer tells of the present
	crowdStall    = 2.0                     // multiple of the pause from which it is a stall and not the load of a pass
	crowdHopeless = 1.0 / 6                 // part of the slots below which no number of requests is on time, and throughput counts
	crowdLeast    = 1.0                     // requests that a rank may run however slow it is
)

// Crowd limits the requests that the engines of a lock-step group run at once, so that a pass stays shorter than the
// pause that callers put up with.
//
// It answers the sudden rise of a pass when other experts are liked: each request then costs more of it, at once and
// for all that run. So the limit rests on the highest cost seen lately, not on the present one.
type Crowd struct {
	Base  float64 // ms of a pass without requests
	Prior float64 // ms that a request adds to it where the ranks carry the same

	Gap clock.Span // longest pause in ms between events that is on time; 0 for no limit

	peak  float64
	seen  clock.Time
	pause float64 // last one noted, in ms
	at    clock.Time
}

// Observe takes in the mean pause in ms between the events of streams while each engine ran so many requests.
func (c *Crowd) Observe(now clock.Time, pause, running float64) {
	if pause > float64(c.Gap)*crowdStall {
		return // a held step, a dead rank or one that is slow whatever it runs: fewer requests would not help
	}
	if running <= 0 || pause < float64(c.Gap)*crowdRelevant {
		return
	}
	if cost := (pause - c.fixed()) / running; cost > c.Cost(now) {
		c.peak, c.seen = cost, now
	}
}

// Note takes in one pause in ms between two events: all streams of a pass share it, so each tells of the present.
func (c *Crowd) Note(now clock.Time, pause clock.Span) {
	c.pause, c.at = float64(pause), now
}

// Hot tells whether passes are nearly too long right now, so that no prompt should be read besides.
func (c *Crowd) Hot(now clock.Time) bool {
	return c.Gap > 0 && c.pause > float64(c.Gap)*crowdHot && c.pause <= float64(c.Gap)*crowdStall && now.Sub(c.at) < crowdStale
}

// fixed returns the ms of a pass that don't depend on the requests that run.
func (c *Crowd) fixed() float64 {
	return c.Base + float64(c.Gap)*crowdReading
}

// Cost returns the ms that a request adds to a pass, by the faded peak; 0 where none was measured.
func (c *Crowd) Cost(now clock.Time) float64 {
	if c.peak == 0 {
		return 0
	}
	return c.peak * math.Exp2(-float64(now.Sub(c.seen))/float64(crowdFade))
}

// Limit returns the requests that each engine may run where each costs so many ms of a pass, between 1 and its slots;
// pressed tells that requests would be late for waiting, so that the margin is given up.
func (c *Crowd) Limit(cost float64, slots int, pressed bool) float64 {
	if c.Gap <= 0 {
		return float64(slots)
	}
	if cost <= 0 {
		cost = c.Prior * crowdPrior
	}
	if cost = max(cost, c.Prior); cost <= 0 {
		return float64(slots)
	}
	part := crowdHeadroom
	if pressed {
		part = crowdPressed
	}
	limit := (float64(c.Gap)*part - c.fixed()) / cost
	if limit < crowdHopeless*float64(slots) {
		return float64(slots)
	}
	return min(max(limit, crowdLeast), float64(slots))
}
