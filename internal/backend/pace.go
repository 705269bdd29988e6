package backend

import "carawaypick/pkg/clock"

const (
	paceSpan  = 5 * clock.Second        // full time over which one rate is taken
	paceLeast = 500 * clock.Millisecond // least full time for a rate
)

// pace measures the tokens that the backend server completes while its window is full; the agent's lock guards it.
type pace struct {
	full   bool
	since  clock.Time // when full was last counted
	passed clock.Span // full time counted
	tokens uint64
	last   uint64 // tokens a second
}

// turn counts the time up to now and notes whether the window is full from here on.
func (p *pace) turn(now clock.Time, full bool) {
	if p.full {
		p.passed += now.Sub(p.since)
	}
	p.full = full
	p.since = now
	if p.passed < paceSpan {
		return
	}
	p.last = p.rate()
	p.passed = 0
	p.tokens = 0
}

// done counts tokens that were completed.
func (p *pace) done(tokens uint32) {
	if p.full {
		p.tokens += uint64(tokens)
	}
}

// rate returns the tokens a second while full, 0 where not known.
func (p *pace) rate() uint64 {
	if p.passed < paceLeast {
		return p.last
	}
	return p.tokens * uint64(clock.Second) / uint64(p.passed)
}
