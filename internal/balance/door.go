package balance

import "carawaypick/pkg/clock"

const (
	firstTrial = 100 * clock.Millisecond // after a group of ranks has rejected work
	lastTrial  = 250 * clock.Millisecond // longest pause between trials: a group opens within some seconds
)

// Door keeps work away from a group of ranks that rejects it, but for a trial now and then.
//
// It answers a rank that died: all ranks reject work until the group forms again, and work that is sent on meanwhile
// only uses up the retries of its callers.
type Door struct {
	pause clock.Span
	next  clock.Time
}

// Close notes a rejection.
func (d *Door) Close(now clock.Time) {
	if now < d.next {
		return
	}
	d.pause = min(max(2*d.pause, firstTrial), lastTrial)
	d.next = now.Add(d.pause)
}

// Try tells whether one request may be sent now, and counts it.
func (d *Door) Try(now clock.Time) bool {
	if now < d.next {
		return false
	}
	d.next = now.Add(lastTrial)
	return true
}
