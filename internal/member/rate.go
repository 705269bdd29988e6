package member

import "carawaypick/pkg/clock"

// Rates of calls to the platform by all processes together, in calls a second.
const (
	// CalmRate is spent by all processes in calm, so that tickets arrive when every reader has died.
	CalmRate = 20
	// SilentRate is spent when every process has lost its peers.
	SilentRate = 200
	// CallsPerRead is the number of calls of one own read: tickets and list.
	CallsPerRead = 2
	// shortestRead is the shortest mean time between own reads.
	shortestRead = 5 * clock.Second
)

// Rate returns the mean milliseconds between own reads of one process in a fleet, longer the larger the fleet is.
func Rate(fleet int, silent bool) clock.Span {
	rate := clock.Span(CalmRate)
	if silent {
		rate = SilentRate
	}
	return max(shortestRead, clock.Span(fleet)*CallsPerRead*clock.Second/rate)
}

// Jitter spreads a mean span evenly over half to one and a half of it, by a random number from 0 to 1.
func Jitter(mean clock.Span, random float64) clock.Span {
	return mean/2 + clock.Span(random*float64(mean))
}
