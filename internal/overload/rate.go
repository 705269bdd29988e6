package overload

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	arrivalTime = clock.Second            // time constant of the rates of arrivals
	startTime   = 500 * clock.Millisecond // time constant of the rates of starts and ends, which change faster
	minRateTime = 500 * clock.Millisecond // shortest time over which a rate is measured, after the start
)

// rate is a rate of events that decays exponentially. Unlike a window it costs two numbers, and it changes without steps.
type rate struct {
	time  clock.Span // time constant in ms
	value float64    // events per second, not corrected for the start
	at    clock.Time
	since clock.Time
	used  bool
}

func (r *rate) add(now clock.Time) {
	if !r.used {
		r.used, r.since, r.at = true, now, now
	}
	r.decay(now)
	r.value += float64(clock.Second) / float64(r.time)
}

func (r *rate) decay(now clock.Time) {
	r.value *= math.Exp(-float64(max(now.Sub(r.at), 0)) / float64(r.time))
	r.at = max(r.at, now)
}

// perSecond returns the events per second.
func (r *rate) perSecond(now clock.Time) float64 {
	if !r.used {
		return 0
	}
	r.decay(now)
	return r.value / (1 - math.Exp(-float64(max(now.Sub(r.since), minRateTime))/float64(r.time)))
}
