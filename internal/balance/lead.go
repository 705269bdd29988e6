package balance

import "carawaypick/pkg/clock"

const (
	leadPrior = 200 * clock.Millisecond // before any stream was seen: a pass begins, then the prompt is read
	leadLeast = 80 * clock.Millisecond
	leadMost  = 300 * clock.Millisecond // a stall is not how long a start takes
)

// Lead learns how long before its first event a stream must be started, so that requests that wait are started in time.
//
// It answers passes that grow with the load: a start takes up to two of them.
type Lead struct {
	seen estimate
}

// Add takes in the time in ms from the start of a request to the first event of its stream.
func (l *Lead) Add(span clock.Span) {
	l.seen.add(min(span, leadMost))
}

// Span returns the time in ms that most starts stay within.
func (l *Lead) Span() clock.Span {
	if !l.seen.seen {
		return leadPrior
	}
	return min(max(clock.Span(l.seen.mean+l.seen.deviation), leadLeast), leadMost)
}
