package balance

import "carawaypick/pkg/clock"

const (
	minProbeDelay = 100 * clock.Millisecond // delay from the first rejection to the first probe
	maxProbeDelay = 250 * clock.Millisecond // maximum delay between probes; short, because a group re-forms within seconds
)

// CircuitBreaker stops requests to a group of ranks that rejects them, except for periodic half-open probes.
//
// After the death of one rank all ranks reject requests until the group has re-formed. Requests sent in the meantime
// would only use up the retries of their callers.
type CircuitBreaker struct {
	delay     clock.Span
	nextProbe clock.Time
}

// Trip records a rejection and schedules the next probe.
func (b *CircuitBreaker) Trip(now clock.Time) {
	if now < b.nextProbe {
		return
	}
	b.delay = min(max(2*b.delay, minProbeDelay), maxProbeDelay)
	b.nextProbe = now.Add(b.delay)
}

// AllowProbe reports whether a probe request may be sent now, and if so delays the next one; without a recorded
// rejection, the first call returns true.
func (b *CircuitBreaker) AllowProbe(now clock.Time) bool {
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now.Add(maxProbeDelay)
	return true
}
