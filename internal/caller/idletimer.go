package caller

import (
	"time"

	"carawaypick/pkg/clock"
)

// idleTimer calls a function once the timeout has passed without a reset.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

func newIdleTimer(timeout clock.Span, onIdle func()) *idleTimer {
	return &idleTimer{timeout: timeout.Duration(), timer: time.AfterFunc(timeout.Duration(), onIdle)}
}

func (t *idleTimer) reset() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }
