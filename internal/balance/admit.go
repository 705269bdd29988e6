package balance

import "carawaypick/pkg/clock"

// AdmissionRequest is a request to be admitted.
type AdmissionRequest struct {
	Tokens         uint32     // expected cost
	Deadline       clock.Time // 0 for none
	QuarantinedFor clock.Span // remaining quarantine of the request's content in ms, 0 for none
}

// ServerState is the state of the backend server that would run a request.
type ServerState struct {
	Tokens    uint64 // expected tokens of queued and running requests
	TokenRate uint64 // tokens per second while busy, 0 if unknown
	Window    uint32 // concurrent requests that the server accepts
	Draining  bool
	Evacuated bool
	Down      bool
}

// Admit returns a *RejectedError if the server must not run r or could not finish it by its deadline, and nil otherwise.
func Admit(now clock.Time, r AdmissionRequest, s ServerState) error {
	if rejected := admit(now, r, s); rejected != nil {
		return rejected
	}
	return nil
}

func admit(now clock.Time, r AdmissionRequest, s ServerState) *RejectedError {
	wait := serviceTime(s.Tokens, s.TokenRate)
	retryAfter := min(max(wait, minRetryAfter), maxRetryAfter)
	switch {
	case r.QuarantinedFor > 0:
		return &RejectedError{Reason: ReasonQuarantined, RetryAfter: r.QuarantinedFor}
	case s.Evacuated:
		return &RejectedError{Reason: ReasonEvacuated, RetryAfter: minRetryAfter}
	case s.Draining:
		return &RejectedError{Reason: ReasonDraining, RetryAfter: minRetryAfter}
	case s.Down || s.Window == 0:
		return &RejectedError{Reason: ReasonDown, RetryAfter: retryAfter}
	case r.Deadline > 0 && now.Add(serviceTime(s.Tokens+uint64(r.Tokens), s.TokenRate)) >= r.Deadline:
		return &RejectedError{Reason: ReasonDeadline, RetryAfter: retryAfter}
	}
	return nil
}
