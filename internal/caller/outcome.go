package caller

import (
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Outcomes of a call that has no whole answer.
const (
	NotRun  = "notrun"  // proved not to have run
	Unknown = "unknown" // may have run
	Failed  = "failed"  // ran and failed, or its content is condemned
	Bad     = "bad"     // malformed, never looked at
)

// Reasons of the entry's own refusals.
const (
	ReasonCold     = "configuration" // this process never had a configuration
	ReasonBusy     = "busy"          // this entry has as many calls as it may
	ReasonNone     = "none"          // no backend server may get the call
	ReasonLate     = "late"          // the deadline is over
	ReasonBudget   = "budget"        // the team's or entry's retries are used up
	ReasonLost     = "lost"          // the connection to the agent broke
	ReasonStall    = "stall"         // the agent gave no sign of life
	ReasonOrder    = "order"         // the answer's events were out of order
	ReasonHash     = "hash"          // the answer's events do not match its hash
	ReasonLeaving  = "leaving"       // this entry shuts down
	ReasonUnproven = "unproven"      // this entry can't prove what earlier sends did
)

// Reasons in the agents' refusals that decide what the entry does next.
const (
	saidCrash     = "crash"     // the backend server crashed under the request
	saidCondemned = "condemned" // the content crashed backend servers
	saidLeaving   = "leaving"   // the agent shuts down
	saidOut       = "out"       // operators have taken the backend server or its zone out
	saidDown      = "down"      // the backend server doesn't answer
	saidStarting  = "starting"  // the agent has no report or no configuration yet
)

// Ending is the end of a call without a whole answer, as callers read it.
type Ending struct {
	ID      string     `json:"id"`
	Attempt uint32     `json:"attempt"`
	Outcome string     `json:"outcome"`
	Reason  string     `json:"reason"`
	After   clock.Span `json:"after"`  // ms after which a new send makes sense
	Events  uint64     `json:"events"` // events that were sent before
}

// Closing is the final event of a whole stream, as callers read it.
type Closing struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Count   uint64 `json:"count"`
	Hash    string `json:"hash"` // xxhash64 over the data of all events, 16 hex digits
}

// verdict is the end of one attempt.
type verdict struct {
	whole   bool
	final   *peerpb.Final
	outcome string
	reason  string
	after   clock.Span
}

func outcomeName(o peerpb.Outcome) string {
	switch o {
	case peerpb.Outcome_OUTCOME_NOTRUN:
		return NotRun
	case peerpb.Outcome_OUTCOME_FAILED:
		return Failed
	}
	return Unknown
}
