package gossip

import "carawaypick/pkg/clock"

// Bounds of the platform reads; rates are those of all processes together, in calls per second.
const (
	// NormalReadRate applies in normal operation; these reads deliver tickets even if every reader has died.
	NormalReadRate = 20
	// IsolatedReadRate applies when every process is isolated from its peers.
	IsolatedReadRate = 200
	// CallsPerRead is the number of calls of one platform read: tickets and instance list.
	CallsPerRead = 2
	// minReadInterval is the shortest mean time between platform reads of one process.
	minReadInterval = 5 * clock.Second
)

// ReadInterval returns the mean time in ms between platform reads of one process, which grows with the fleet.
func ReadInterval(fleet int, isolated bool) clock.Span {
	rate := clock.Span(NormalReadRate)
	if isolated {
		rate = IsolatedReadRate
	}
	return max(minReadInterval, clock.Span(fleet)*CallsPerRead*clock.Second/rate)
}

// Jitter returns a duration from half to one and a half of the mean, by a random number from 0 to 1.
func Jitter(mean clock.Span, random float64) clock.Span {
	return mean/2 + clock.Span(random*float64(mean))
}
