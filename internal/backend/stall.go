package backend

import (
	"sync"
	"time"

	"carawaypick/pkg/clock"
)

// stall calls fire where no progress comes for a span of time; waiting for the entry does not count.
type stall struct {
	mu    sync.Mutex
	span  time.Duration
	timer *time.Timer
}

func newStall(span clock.Span, fire func()) *stall {
	return &stall{span: span.Duration(), timer: time.AfterFunc(span.Duration(), fire)}
}

func (s *stall) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

func (s *stall) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Reset(s.span)
}

func (s *stall) stop() {
	s.pause()
}
