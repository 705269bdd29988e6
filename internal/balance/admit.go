package balance

import "carawaypick/pkg/clock"

// Work is a request that asks to be admitted.
type Work struct {
	Tokens    uint32
	Deadline  clock.Time // 0 for none
	Condemned clock.Span // ms for which its content stays condemned, 0 where it is not
}

// Standing is what the judge of a request knows of the place where it would run.
type Standing struct {
	Tokens  uint64 // queued and running
	Rate    uint64 // tokens a second while busy, 0 where unknown
	Window  uint32 // requests that it bears now
	Leaving bool
	Out     bool
	Down    bool
}

// Admit returns a *RefusedError where work would be in vain, and nil otherwise.
func Admit(now clock.Time, w Work, s Standing) error {
	if r := admit(now, w, s); r != nil {
		return r
	}
	return nil
}

func admit(now clock.Time, w Work, s Standing) *RefusedError {
	wait := served(s.Tokens, s.Rate)
	after := min(max(wait, leastAfter), mostAfter)
	switch {
	case w.Condemned > 0:
		return &RefusedError{Reason: ReasonCondemned, After: w.Condemned}
	case s.Out:
		return &RefusedError{Reason: ReasonOut, After: leastAfter}
	case s.Leaving:
		return &RefusedError{Reason: ReasonLeaving, After: leastAfter}
	case s.Down || s.Window == 0:
		return &RefusedError{Reason: ReasonDown, After: after}
	case w.Deadline > 0 && now.Add(served(s.Tokens+uint64(w.Tokens), s.Rate)) >= w.Deadline:
		return &RefusedError{Reason: ReasonLate, After: after}
	}
	return nil
}
