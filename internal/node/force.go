package node

import (
	"sync"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// force knows since when the present state of the tickets is in force here; it is safe for many goroutines.
type force struct {
	mu     sync.Mutex
	number ticket.Number
	hash   uint64
	since  clock.Time
}

// age takes in the present state and returns the ms for which it has been in force.
func (f *force) age(now clock.Time, number ticket.Number, hash uint64) clock.Span {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number != f.number || hash != f.hash {
		f.number, f.hash, f.since = number, hash, now
	}
	return now.Sub(f.since)
}
