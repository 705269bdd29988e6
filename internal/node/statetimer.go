package node

import (
	"sync"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// stateTimer records when the current configuration state took effect in this process; it is safe for concurrent use.
type stateTimer struct {
	mu     sync.Mutex
	number ticket.Number
	hash   uint64
	since  clock.Time
}

// age records the current state and returns the time in ms since it took effect.
func (f *stateTimer) age(now clock.Time, number ticket.Number, hash uint64) clock.Span {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number != f.number || hash != f.hash {
		f.number, f.hash, f.since = number, hash, now
	}
	return now.Sub(f.since)
}
