package caller

import (
	"time"

	"carawaypick/pkg/clock"
)

// life calls fire where no sign of life comes for a span of time.
type life struct {
	span  time.Duration
	timer *time.Timer
}

func newLife(span clock.Span, fire func()) *life {
	return &life{span: span.Duration(), timer: time.AfterFunc(span.Duration(), fire)}
}

func (l *life) sign() { l.timer.Reset(l.span) }

func (l *life) stop() { l.timer.Stop() }
