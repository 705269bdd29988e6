package balance

import "carawaypick/pkg/clock"

// growthInterval is the minimum time between two increments of the window.
const growthInterval = 100 * clock.Millisecond

// SlowStart limits the concurrent requests of a backend server while it warms up.
type SlowStart struct {
	minWindow uint32
	maxWindow uint32
	window    uint32
	completed uint32
	grownAt   clock.Time
}

// NewSlowStart returns a slow start from minWindow to maxWindow concurrent requests.
func NewSlowStart(minWindow, maxWindow uint32) *SlowStart {
	minWindow = max(minWindow, 1)
	maxWindow = max(maxWindow, minWindow)
	return &SlowStart{minWindow: minWindow, maxWindow: maxWindow, window: minWindow}
}

// Restart resets the window to its minimum after a cold start of the backend server.
func (s *SlowStart) Restart(now clock.Time) {
	s.window = s.minWindow
	s.completed = 0
	s.grownAt = now
}

// SetBounds changes the bounds of the window and clamps the window to them.
func (s *SlowStart) SetBounds(minWindow, maxWindow uint32) {
	s.minWindow = max(minWindow, 1)
	s.maxWindow = max(maxWindow, s.minWindow)
	s.window = min(max(s.window, s.minWindow), s.maxWindow)
}

// Done records a completed request; one without tokens does not show that the server is warm and is ignored.
//
// The window grows by one request after as many completed requests as it is wide, at most once per growthInterval.
func (s *SlowStart) Done(now clock.Time, tokens uint32) {
	if tokens == 0 || s.window >= s.maxWindow {
		return
	}
	s.completed = min(s.completed+1, s.window)
	if s.completed < s.window || now.Sub(s.grownAt) < growthInterval {
		return
	}
	s.window++
	s.completed = 0
	s.grownAt = now
}

// Window returns the number of concurrent requests that the backend server accepts.
func (s *SlowStart) Window(_ clock.Time) uint32 {
	return s.window
}
