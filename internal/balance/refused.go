package balance

import (
	"fmt"

	"carawaypick/pkg/clock"
)

// Reasons of a refusal.
const (
	ReasonFull      = "full"      // the queue has no room
	ReasonLate      = "late"      // the deadline can't be met
	ReasonShare     = "share"     // the team is over its share while others wait
	ReasonLimit     = "limit"     // the team is at its limit
	ReasonDuplicate = "duplicate" // the id is queued already
	ReasonLeaving   = "leaving"   // the backend server leaves
	ReasonOut       = "out"       // the backend server or its availability zone is out
	ReasonDown      = "down"      // the backend server does not answer
	ReasonCondemned = "condemned" // the content crashed backend servers
)

// RefusedError says why work was not taken and when to send it again.
type RefusedError struct {
	Reason string
	After  clock.Span // ms after which a new send makes sense
}

// Error returns the reason and the time in ms after which a new send makes sense.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, again after %d ms", r.Reason, r.After)
}
