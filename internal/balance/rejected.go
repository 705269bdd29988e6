package balance

import (
	"fmt"

	"carawaypick/pkg/clock"
)

// Reasons of a rejection.
const (
	ReasonQueueFull   = "full"      // the queue has no free slots
	ReasonDeadline    = "late"      // the deadline cannot be met
	ReasonOverShare   = "share"     // the team is over its share while other teams wait
	ReasonTeamLimit   = "limit"     // the team has reached its token limit
	ReasonDuplicate   = "duplicate" // a job with the same id is already queued
	ReasonDraining    = "leaving"   // the backend server is draining
	ReasonEvacuated   = "out"       // the backend server or its availability zone is evacuated
	ReasonDown        = "down"      // the backend server is not available
	ReasonQuarantined = "condemned" // the content is quarantined because it crashed backend servers
)

// RejectedError is the reason of a rejection and the delay before a retry.
type RejectedError struct {
	Reason     string
	RetryAfter clock.Span // ms
}

// Error returns the reason and the retry delay in ms.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("refused: %s, again after %d ms", e.Reason, e.RetryAfter)
}
