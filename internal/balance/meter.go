package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

// meterHalfLife is the busy time after which an observation counts for half.
const meterHalfLife = 5 * clock.Second

// serviceTimeDeviations is the number of mean deviations by which ServiceTime exceeds the mean.
const serviceTimeDeviations = 2.0

// ServiceMeter measures the throughput and service time of a backend server over its busy time; idle time does not count.
type ServiceMeter struct {
	running      uint32
	updatedAt    clock.Time
	busyMs       float64
	busyTokens   float64 // tokens completed within busyMs
	serviceMs    float64 // total service time of completed requests
	servedTokens float64 // tokens of completed requests
	deviationMs  float64 // total deviation of the service times of completed requests from the mean
}

// Start counts a request that was sent to the backend server.
func (m *ServiceMeter) Start(now clock.Time) {
	m.advance(now)
	m.running++
}

// Done counts the end of a request after elapsed ms; tokens is 0 if it did not complete.
func (m *ServiceMeter) Done(now clock.Time, tokens uint32, elapsed clock.Span) {
	m.advance(now)
	if m.running > 0 {
		m.running--
	}
	if tokens == 0 {
		return
	}
	if m.servedTokens > 0 {
		m.deviationMs += math.Abs(float64(elapsed) - m.meanServiceTime(tokens))
	}
	m.busyTokens += float64(tokens)
	m.servedTokens += float64(tokens)
	m.serviceMs += float64(max(elapsed, 0))
}

// TokenRate returns the tokens per second that the backend server completes while busy, 0 if unknown.
func (m *ServiceMeter) TokenRate() uint64 {
	if m.busyMs < float64(meterHalfLife)/4 {
		return 0
	}
	return uint64(m.busyTokens / m.busyMs * float64(clock.Second))
}

// ServiceTime returns the service time in ms that few requests of the given tokens exceed, 0 if unknown.
func (m *ServiceMeter) ServiceTime(tokens uint32) clock.Span {
	if m.servedTokens == 0 || m.serviceMs == 0 {
		return 0
	}
	mean := m.meanServiceTime(tokens)
	return clock.Span(mean + serviceTimeDeviations*m.deviationMs/m.serviceMs*mean)
}

// meanServiceTime returns the mean service time in ms of a request of the given tokens.
func (m *ServiceMeter) meanServiceTime(tokens uint32) float64 {
	return m.serviceMs / m.servedTokens * float64(tokens)
}

// advance accounts for the time since the last call.
func (m *ServiceMeter) advance(now clock.Time) {
	elapsed := float64(now.Sub(m.updatedAt))
	m.updatedAt = now
	if elapsed <= 0 || m.running == 0 {
		return
	}
	decay := math.Exp2(-elapsed / float64(meterHalfLife))
	m.busyMs = m.busyMs*decay + elapsed
	m.busyTokens *= decay
	m.serviceMs *= decay
	m.servedTokens *= decay
	m.deviationMs *= decay
}
