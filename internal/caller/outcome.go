package caller

import (
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Outcomes of a call without a complete answer.
const (
	OutcomeNotRun  = "notrun"  // proven not to have run
	OutcomeUnknown = "unknown" // may have run
	OutcomeFailed  = "failed"  // ran and failed, or its content is quarantined
	OutcomeBad     = "bad"     // malformed, not routed
)

// Reasons of failures that the entry itself detects.
const (
	ReasonNoConfiguration = "configuration" // no configuration received yet
	ReasonBusy            = "busy"          // this entry's limit of concurrent calls is reached
	ReasonNoBackend       = "none"          // no backend server is available
	ReasonDeadline        = "late"          // the deadline has passed
	ReasonBudget          = "budget"        // the retry budget of the team or entry is used up
	ReasonDisconnected    = "lost"          // the connection to the agent broke
	ReasonStalled         = "stall"         // the agent sent no message for agentIdleTimeout
	ReasonOrder           = "order"         // the answer's events were out of order
	ReasonHash            = "hash"          // the answer's events do not match its hash
	ReasonLeaving         = "leaving"       // unused: an entry that shuts down still serves calls
	ReasonUnproven        = "unproven"      // this entry can't prove that earlier sends did not run
)

// Reasons in agents' refusals that the entry's retries depend on.
const (
	agentReasonCrash       = "crash"     // the backend server crashed under the request
	agentReasonQuarantined = "condemned" // the content is quarantined for crashing backend servers
	agentReasonLeaving     = "leaving"   // the agent is shutting down
	agentReasonOut         = "out"       // operators have taken the backend server or its zone out of service
	agentReasonDown        = "down"      // the backend server doesn't answer
	agentReasonStarting    = "starting"  // the agent has no report or no configuration yet
)

// CallFailure is the JSON that callers get in place of a complete answer.
type CallFailure struct {
	ID         string     `json:"id"`
	Attempt    uint32     `json:"attempt"`
	Outcome    string     `json:"outcome"`
	Reason     string     `json:"reason"`
	RetryAfter clock.Span `json:"after"`  // retry delay in milliseconds
	SentEvents uint64     `json:"events"` // events already sent to the caller
}

// FinalEvent is the JSON of the last event of a complete stream.
type FinalEvent struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Count   uint64 `json:"count"`
	Hash    string `json:"hash"` // xxhash64 over the data of all events, 16 hex digits
}

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	complete   bool
	final      *peerpb.Final
	outcome    string
	reason     string
	retryAfter clock.Span
}

func outcomeName(o peerpb.Outcome) string {
	switch o {
	case peerpb.Outcome_OUTCOME_NOTRUN:
		return OutcomeNotRun
	case peerpb.Outcome_OUTCOME_FAILED:
		return OutcomeFailed
	}
	return OutcomeUnknown
}
