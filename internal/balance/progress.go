package balance

import "carawaypick/pkg/clock"

const (
	// meanGain is the weight of a new interval in the running mean.
	meanGain = 1.0 / 8
	// deviationGain is the weight of a new deviation in the running mean deviation.
	deviationGain = 1.0 / 4
	// upperDeviations is the number of mean deviations between the mean and the upper bound.
	upperDeviations = 4
)

// estimate is a running mean and mean deviation in ms, as in the TCP retransmission timer (Jacobson, 1988).
type estimate struct {
	mean      float64
	deviation float64
	sampled   bool
}

func (e *estimate) add(span clock.Span) {
	sample := float64(max(span, 0))
	if !e.sampled {
		*e = estimate{mean: sample, deviation: sample / 2, sampled: true}
		return
	}
	deviation := sample - e.mean
	e.mean += meanGain * deviation
	e.deviation += deviationGain * (max(deviation, -deviation) - e.deviation)
}

// upperBound returns the duration in ms that few samples exceed.
func (e *estimate) upperBound() clock.Span {
	return clock.Span(e.mean + upperDeviations*e.deviation)
}

// StallTimeouts bounds the time in ms that a stream may take to its next event.
type StallTimeouts struct {
	FirstEvent     clock.Span // timeout before the first event
	MinInterval    clock.Span // minimum timeout between events
	MaxInterval    clock.Span // maximum timeout between events
	IntervalFactor float64    // timeout as a multiple of the estimated interval
}

// StallDetector detects a stream without progress.
type StallDetector struct {
	timeouts  StallTimeouts
	interval  estimate
	lastEvent clock.Time
	started   bool
}

// NewStallDetector returns a detector for a stream whose request was sent at start.
func NewStallDetector(start clock.Time, timeouts StallTimeouts) *StallDetector {
	return &StallDetector{timeouts: timeouts, lastEvent: start}
}

// Event records an event of the stream.
func (s *StallDetector) Event(now clock.Time) {
	if s.started {
		s.interval.add(now.Sub(s.lastEvent))
	}
	s.started = true
	s.lastEvent = now
}

// StallTime returns the time at which the stream counts as stalled unless an event arrives before.
func (s *StallDetector) StallTime() clock.Time {
	if !s.started {
		return s.lastEvent.Add(s.timeouts.FirstEvent)
	}
	if !s.interval.sampled {
		return s.lastEvent.Add(s.timeouts.MaxInterval)
	}
	timeout := clock.Span(s.timeouts.IntervalFactor * float64(s.interval.upperBound()))
	return s.lastEvent.Add(min(max(timeout, s.timeouts.MinInterval), s.timeouts.MaxInterval))
}

// Stalled reports whether the next event is overdue.
func (s *StallDetector) Stalled(now clock.Time) bool {
	return now >= s.StallTime()
}

// Attempt is an attempt that may be hedged.
type Attempt struct {
	Team       string
	SentAt     clock.Time
	Deadline   clock.Time // 0 for none
	Idempotent bool
	Suspect    bool
	Events     uint64 // events received so far
	Hedged     bool   // a second attempt was already sent
}

// Hedger decides when to hedge a slow attempt of an idempotent request on another backend server.
type Hedger struct {
	Budget   *RetryBudget // shared with the retries
	MinDelay clock.Span   // minimum time without a first event before a hedge, in ms

	firstEvent estimate
}

// ObserveFirstEvent records that an attempt delivered its first event after delay ms.
func (h *Hedger) ObserveFirstEvent(delay clock.Span) {
	h.firstEvent.add(delay)
}

// Delay returns the time without a first event in ms after which an attempt may be hedged.
func (h *Hedger) Delay() clock.Span {
	return max(h.firstEvent.upperBound(), h.MinDelay)
}

// TryHedge reports whether to hedge the attempt a now, and if so withdraws the second attempt from the budget.
func (h *Hedger) TryHedge(now clock.Time, a Attempt) bool {
	if !a.Idempotent || a.Suspect || a.Hedged || a.Events > 0 {
		return false
	}
	if !h.firstEvent.sampled || now.Sub(a.SentAt) < h.Delay() {
		return false
	}
	if a.Deadline > 0 && now >= a.Deadline {
		return false
	}
	return h.Budget.TryWithdraw(now, a.Team)
}
