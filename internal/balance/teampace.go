package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	paceHalfLife = 2 * clock.Second // after which what a pace saw counts for half
	paceLeast    = clock.Second     // least time with jobs waiting before a pace is known
)

// teamPace measures the tokens that a team is served while it has jobs waiting,
// which holds what other teams leave it, whether they wait or not.
type teamPace struct {
	seen    clock.Time
	waiting bool
	busy    float64 // ms
	tokens  float64
}

// pass accounts for the time up to now; waiting says whether the team has jobs from here on.
func (p *teamPace) pass(now clock.Time, waiting bool) {
	span := float64(now.Sub(p.seen))
	if p.waiting && span > 0 {
		fade := math.Exp2(-span / float64(paceHalfLife))
		p.busy = p.busy*fade + span
		p.tokens *= fade
	}
	p.seen = now
	p.waiting = waiting
}

// serve counts a job that was taken while the team had jobs waiting.
func (p *teamPace) serve(now clock.Time, tokens uint32, waiting bool) {
	p.pass(now, waiting)
	p.tokens += float64(tokens)
}

// wait returns the ms after which so many tokens of the team are served; ok is false where that is not known.
func (p *teamPace) wait(tokens uint64) (span clock.Span, ok bool) {
	if p.busy < float64(paceLeast) || p.tokens < 1 {
		return 0, false
	}
	return clock.Span(float64(tokens) * p.busy / p.tokens), true
}
