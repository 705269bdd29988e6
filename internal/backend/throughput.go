package backend

import "carawaypick/pkg/clock"

const (
	rateWindow    = 5 * clock.Second        // saturated time over which one rate is measured
	minRateWindow = 500 * clock.Millisecond // saturated time below which the previous rate is returned
)

// throughputMeter measures the tokens that the backend server completes while its window is full; Agent.mu guards it.
type throughputMeter struct {
	saturated bool
	since     clock.Time // time up to which elapsed is counted
	elapsed   clock.Span // saturated time in the current measurement
	tokens    uint64
	lastRate  uint64 // tokens per second of the last measurement
}

// update counts the time up to now and sets whether the window is full from now on.
func (m *throughputMeter) update(now clock.Time, saturated bool) {
	if m.saturated {
		m.elapsed += now.Sub(m.since)
	}
	m.saturated = saturated
	m.since = now
	if m.elapsed < rateWindow {
		return
	}
	m.lastRate = m.rate()
	m.elapsed = 0
	m.tokens = 0
}

// addTokens counts completed tokens if the window is full.
func (m *throughputMeter) addTokens(tokens uint32) {
	if m.saturated {
		m.tokens += uint64(tokens)
	}
}

// rate returns the tokens per second at a full window, 0 if unknown.
func (m *throughputMeter) rate() uint64 {
	if m.elapsed < minRateWindow {
		return m.lastRate
	}
	return m.tokens * uint64(clock.Second) / uint64(m.elapsed)
}
