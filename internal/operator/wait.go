package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"carawaypick/pkg/clock"
)

// waitPeriod is the time in ms between two rounds of asking.
const waitPeriod = 250 * clock.Millisecond

// leaving is the state of an instance that may end at any time.
const leaving = "leaving"

// PendingError says where a ticket is not yet in force.
type PendingError struct {
	Number  uint64
	Pending []string // process and reason
}

// Error lists the processes that lack the ticket.
func (e *PendingError) Error() string {
	return fmt.Sprintf("ticket %d is not in force everywhere:\n%s", e.Number, strings.Join(e.Pending, "\n"))
}

// Wait returns nil once the ticket is in force at every process, or the last obstacle when ctx ends.
func (c *Client) Wait(ctx context.Context, number uint64) error {
	for {
		err := c.inForce(ctx, number)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(waitPeriod.Duration()):
		}
	}
}

func (c *Client) inForce(ctx context.Context, number uint64) error {
	processes, err := c.Processes()
	if err != nil {
		return err
	}
	return inForce(number, c.Ask(context.WithoutCancel(ctx), processes, ""))
}

// inForce judges the answers of one round.
func inForce(number uint64, replies []Reply) error {
	p := &PendingError{Number: number}
	if len(replies) == 0 {
		p.Pending = append(p.Pending, "no process is listed")
	}
	hashes := map[uint64]string{}
	for _, r := range replies {
		if reason := obstacle(number, r, hashes); reason != "" {
			p.Pending = append(p.Pending, r.Process.Name+": "+reason)
		}
	}
	if len(p.Pending) > 0 {
		return p
	}
	return nil
}

// obstacle says why the ticket is not in force at one process, comparing hashes at equal numbers.
func obstacle(number uint64, r Reply, hashes map[uint64]string) string {
	if r.Fault != "" {
		if r.Process.State == leaving {
			return ""
		}
		return r.Fault
	}
	s := r.Answer.Status
	if s.Number < number {
		return behind(s)
	}
	known, found := hashes[s.Number]
	if found && known != s.Hash {
		return fmt.Sprintf("at ticket %d with hash %s where others have %s", s.Number, s.Hash, known)
	}
	hashes[s.Number] = s.Hash
	return ""
}

func behind(s *Status) string {
	if s.Missing == nil {
		return fmt.Sprintf("at ticket %d", s.Number)
	}
	return fmt.Sprintf("at ticket %d, missing ticket %d for %d ms", s.Number, s.Missing.Number, s.Missing.Held)
}
