package balance

import "carawaypick/pkg/clock"

const (
	defaultFirstEventDelay = 200 * clock.Millisecond // assumed before the first observation: a pass must begin, then prefill the prompt
	minFirstEventDelay     = 80 * clock.Millisecond
	maxFirstEventDelay     = 300 * clock.Millisecond // longer delays are stalls, not start times
)

// FirstEventEstimate estimates the time from the start of a stream to its first event, so that waiting requests are started in time.
//
// The time grows with the load: a start takes up to two passes.
type FirstEventEstimate struct {
	delay estimate
}

// Observe records the time in ms from the start of a request to the first event of its stream.
func (e *FirstEventEstimate) Observe(delay clock.Span) {
	e.delay.add(min(delay, maxFirstEventDelay))
}

// Delay returns the time in ms within which most streams deliver their first event.
func (e *FirstEventEstimate) Delay() clock.Span {
	if !e.delay.sampled {
		return defaultFirstEventDelay
	}
	return min(max(clock.Span(e.delay.mean+e.delay.deviation), minFirstEventDelay), maxFirstEventDelay)
}
