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

// age returns the time in ms since the state took effect, 0 if the state differs from that of the previous call.
func (s *stateTimer) age(now clock.Time, number ticket.Number, hash uint64) clock.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.number || hash != s.hash {
		s.number, s.hash, s.since = number, hash, now
	}
	return now.Sub(s.since)
}
