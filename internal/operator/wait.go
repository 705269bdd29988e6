package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"carawaypick/pkg/clock"
)

// waitInterval is the time in ms between two rounds of queries.
const waitInterval = 250 * clock.Millisecond

// stateLeaving is the state of an instance that may exit at any time.
const stateLeaving = "leaving"

// PendingError reports the processes where a ticket is not yet in force.
type PendingError struct {
	Number  uint64
	Pending []string // process and reason
}

// Error lists the processes without the ticket, one per line.
func (e *PendingError) Error() string {
	return fmt.Sprintf("ticket %d is not in force everywhere:\n%s", e.Number, strings.Join(e.Pending, "\n"))
}

// Wait blocks until the ticket is in force at every process; when ctx ends, it returns the error of the last round.
func (c *Client) Wait(ctx context.Context, number uint64) error {
	for {
		err := c.checkInForce(ctx, number)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(waitInterval.Duration()):
		}
	}
}

// checkInForce queries all processes once. The round ignores the end of ctx, so that its error names the processes without
// the ticket rather than the expired time-out.
func (c *Client) checkInForce(ctx context.Context, number uint64) error {
	processes, err := c.Processes()
	if err != nil {
		return err
	}
	return checkReplies(number, c.Query(context.WithoutCancel(ctx), processes, ""))
}

// checkReplies returns a PendingError unless the replies of one round show the ticket in force everywhere.
func checkReplies(number uint64, replies []Reply) error {
	p := &PendingError{Number: number}
	if len(replies) == 0 {
		p.Pending = append(p.Pending, "no process is listed")
	}
	hashes := map[uint64]string{}
	for _, r := range replies {
		if reason := pendingReason(number, r, hashes); reason != "" {
			p.Pending = append(p.Pending, r.Process.Name+": "+reason)
		}
	}
	if len(p.Pending) > 0 {
		return p
	}
	return nil
}

// pendingReason returns why the ticket is not in force at one process, or an empty string; at equal numbers the state
// hashes must match. A process that is leaving need not respond.
func pendingReason(number uint64, r Reply, hashes map[uint64]string) string {
	if r.Error != "" {
		if r.Process.State == stateLeaving {
			return ""
		}
		return r.Error
	}
	s := r.Response.Status
	if s.Number < number {
		return behindReason(s)
	}
	known, found := hashes[s.Number]
	if found && known != s.Hash {
		return fmt.Sprintf("at ticket %d with hash %s where others have %s", s.Number, s.Hash, known)
	}
	hashes[s.Number] = s.Hash
	return ""
}

func behindReason(s *Status) string {
	if s.Missing == nil {
		return fmt.Sprintf("at ticket %d", s.Number)
	}
	return fmt.Sprintf("at ticket %d, missing ticket %d for %d ms", s.Number, s.Missing.Number, s.Missing.MissingFor)
}
