package backend

import "carawaypick/pkg/clock"

const (
	rateWindow    = 5 * clock.Second        // time with a full window over which one rate is measured
	minRateWindow = 500 * clock.Millisecond // time with a full window below which the previous rate is returned
)

// throughputMeter measures the tokens that the backend server completes while its window is full; Agent.mu guards it.
type throughputMeter struct {
	saturated bool       // the window is full
	updatedAt clock.Time // time of the last update; elapsed does not include the time after it
	elapsed   clock.Span // time with a full window in the current measurement
	tokens    uint64     // tokens completed in the current measurement
	lastRate  uint64     // tokens per second of the last measurement
}

// update adds the time since the last update to the measurement if the window was full, and sets whether it is full from
// now on. It starts a new measurement after rateWindow.
func (m *throughputMeter) update(now clock.Time, saturated bool) {
	if m.saturated {
		m.elapsed += now.Sub(m.updatedAt)
	}
	m.saturated = saturated
	m.updatedAt = now
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
