package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

// meterHalfLife is the time in ms after which what a meter saw counts for half.
const meterHalfLife = 5 * clock.Second

// tookDeviations is how many mean deviations above the mean the expected service time lies.
const tookDeviations = 2.0

// Meter measures what a backend server completes while it is busy, so that idle time does not make it look slow.
type Meter struct {
	running uint32
	seen    clock.Time
	busy    float64 // ms
	tokens  float64 // completed in the busy time
	took    float64 // ms that the completed tokens' requests took
	done    float64 // tokens of these requests
	off     float64 // ms by which these requests missed the mean
}

// Start counts a request that was handed to the backend server.
func (m *Meter) Start(now clock.Time) {
	m.pass(now)
	m.running++
}

// Done counts the end of a request that took the given ms; tokens is 0 where it did not run whole.
func (m *Meter) Done(now clock.Time, tokens uint32, took clock.Span) {
	m.pass(now)
	if m.running > 0 {
		m.running--
	}
	if tokens == 0 {
		return
	}
	if m.done > 0 {
		m.off += math.Abs(float64(took) - m.mean(tokens))
	}
	m.tokens += float64(tokens)
	m.done += float64(tokens)
	m.took += float64(max(took, 0))
}

// Rate returns the tokens a second that the backend server completes while busy, 0 where unknown.
func (m *Meter) Rate() uint64 {
	if m.busy < float64(meterHalfLife)/4 {
		return 0
	}
	return uint64(m.tokens / m.busy * float64(clock.Second))
}

// Took returns the ms at the backend server that few requests of so many tokens exceed, 0 where unknown.
func (m *Meter) Took(tokens uint32) clock.Span {
	if m.done == 0 || m.took == 0 {
		return 0
	}
	mean := m.mean(tokens)
	return clock.Span(mean + tookDeviations*m.off/m.took*mean)
}

// mean returns the expected ms at the backend server of a request of so many tokens.
func (m *Meter) mean(tokens uint32) float64 {
	return m.took / m.done * float64(tokens)
}

// pass accounts for the time since the last event.
func (m *Meter) pass(now clock.Time) {
	span := float64(now.Sub(m.seen))
	m.seen = now
	if span <= 0 || m.running == 0 {
		return
	}
	fade := math.Exp2(-span / float64(meterHalfLife))
	m.busy = m.busy*fade + span
	m.tokens *= fade
	m.took *= fade
	m.done *= fade
	m.off *= fade
}
