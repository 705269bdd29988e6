package backend

import (
	"sync"
	"time"

	"carawaypick/pkg/clock"
)

// stallTimer calls a function after a timeout without progress; it is paused while the agent waits for the entry.
type stallTimer struct {
	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer
}

func newStallTimer(timeout clock.Span, onStall func()) *stallTimer {
	return &stallTimer{timeout: timeout.Duration(), timer: time.AfterFunc(timeout.Duration(), onStall)}
}

func (s *stallTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

func (s *stallTimer) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Reset(s.timeout)
}

func (s *stallTimer) stop() {
	s.pause()
}
