package balance

import "carawaypick/pkg/clock"

const (
	// estimateGain is the weight of a new interval in the running mean.
	estimateGain = 1.0 / 8
	// deviationGain is the weight of a new deviation in the running mean deviation.
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations above the mean an interval may lie.
	deviations = 4
)

// estimate is a running mean and mean deviation in ms, as in TCP's retransmission timer (Jacobson, 1988).
type estimate struct {
	mean      float64
	deviation float64
	seen      bool
}

func (e *estimate) add(span clock.Span) {
	sample := float64(max(span, 0))
	if !e.seen {
		*e = estimate{mean: sample, deviation: sample / 2, seen: true}
		return
	}
	off := sample - e.mean
	e.mean += estimateGain * off
	e.deviation += deviationGain * (max(off, -off) - e.deviation)
}

// upper returns the length in ms that few samples exceed.
func (e *estimate) upper() clock.Span {
	return clock.Span(e.mean + deviations*e.deviation)
}

// Patience bounds the time in ms for which a stream may show no event.
type Patience struct {
	First     clock.Span // before the first event
	Least     clock.Span // between events, at least
	Most      clock.Span // between events, at most
	Intervals float64    // estimated intervals that may pass
}

// Stall notices a stream without progress.
type Stall struct {
	patience Patience
	interval estimate
	last     clock.Time
	begun    bool
}

// NewStall returns a detector for a stream whose request was handed over at start.
func NewStall(start clock.Time, patience Patience) *Stall {
	return &Stall{patience: patience, last: start}
}

// Event counts an event of the stream.
func (s *Stall) Event(now clock.Time) {
	if s.begun {
		s.interval.add(now.Sub(s.last))
	}
	s.begun = true
	s.last = now
}

// Due returns the time at which the stream counts as stalled unless an event comes first.
func (s *Stall) Due() clock.Time {
	if !s.begun {
		return s.last.Add(s.patience.First)
	}
	if !s.interval.seen {
		return s.last.Add(s.patience.Most)
	}
	span := clock.Span(s.patience.Intervals * float64(s.interval.upper()))
	return s.last.Add(min(max(span, s.patience.Least), s.patience.Most))
}

// Stalled reports whether the stream shows no progress.
func (s *Stall) Stalled(now clock.Time) bool {
	return now >= s.Due()
}

// Attempt is one attempt that a hedge may double.
type Attempt struct {
	Team       string
	Start      clock.Time // handed over
	Deadline   clock.Time // 0 for none
	Idempotent bool
	Suspect    bool
	Events     uint64 // that came already
	Hedged     bool   // has a second attempt
}

// Hedge decides when a slow attempt of idempotent work is doubled on another backend server.
type Hedge struct {
	Budget *Budget // shared with retries
	Least  clock.Span

	first estimate
}

// First records that an attempt brought its first event after span ms.
func (h *Hedge) First(span clock.Span) {
	h.first.add(span)
}

// After returns the ms without a first event after which an attempt may be doubled.
func (h *Hedge) After() clock.Span {
	return max(h.first.upper(), h.Least)
}

// Decide reports whether a is to be doubled now, and takes the second attempt from the budget.
func (h *Hedge) Decide(now clock.Time, a Attempt) bool {
	if !a.Idempotent || a.Suspect || a.Hedged || a.Events > 0 {
		return false
	}
	if !h.first.seen || now.Sub(a.Start) < h.After() {
		return false
	}
	if a.Deadline > 0 && now >= a.Deadline {
		return false
	}
	return h.Budget.Spend(now, a.Team)
}
