package expert

import (
	"slices"

	"carawaypick/pkg/clock"
)

// States of a coordinator's proposal.
const (
	StateIdle       = "idle"
	StateLoading    = "loading"
	StatePreparing  = "preparing"
	StateCommitted  = "committed"
	StateAborted    = "aborted"
	StateUnresolved = "unresolved" // timed out; the ranks decide by querying one another
)

// VoteCoordinator is the planner's side of a switch by votes of the ranks, with one proposal at a time.
type VoteCoordinator struct {
	State string

	name        string
	incarnation uint32 // random; the lower bits of each epoch
	ranks       []string
	margin      uint64     // steps from the newest known step to the first one with the next map
	timeout     clock.Span // ms after which a proposal is left to the ranks

	proposal   Activation
	generation Generation
	highest    Fence
	step       uint64
	answered   map[string]bool
	startedAt  clock.Time
	sentAt     clock.Time
}

// incarnationBits is the number of an epoch's lower bits that identify the planner's incarnation.
const incarnationBits = 32

// NewVoteCoordinator returns a coordinator for the group; incarnation is random, margin is in steps,
// and timeout is the time in ms after which a proposal is left to the ranks.
func NewVoteCoordinator(name string, incarnation uint32, ranks []string, margin uint64, timeout clock.Span) *VoteCoordinator {
	return &VoteCoordinator{State: StateIdle, name: name, incarnation: incarnation, ranks: ranks, margin: margin, timeout: timeout, answered: map[string]bool{}}
}

// Busy reports whether a proposal is in progress.
func (c *VoteCoordinator) Busy() bool {
	return c.State == StateLoading || c.State == StatePreparing
}

// Propose starts the switch to a map under a ticket number and returns the messages to send; it does nothing while busy.
func (c *VoteCoordinator) Propose(now clock.Time, number uint64, m Map) []Envelope {
	if c.Busy() {
		return nil
	}
	f := c.nextFence(number)
	c.highest = f
	c.proposal = Activation{Fence: f, Map: m}
	c.generation = Generation{}
	c.step = 0
	clear(c.answered)
	c.State = StateLoading
	c.startedAt = now
	return c.send(now)
}

// nextFence returns a fence that is above all known ones and that no other planner or incarnation of this planner issues.
func (c *VoteCoordinator) nextFence(number uint64) Fence {
	f := Fence{Number: max(number, c.highest.Number)}
	if f.Number == c.highest.Number {
		f.Epoch = c.highest.Epoch >> incarnationBits
	}
	f.Epoch = (f.Epoch+1)<<incarnationBits | uint64(c.incarnation)
	return f
}

// Fence returns the fence of the newest proposal.
func (c *VoteCoordinator) Fence() Fence {
	return c.proposal.Fence
}

// Tick returns the messages that are due.
func (c *VoteCoordinator) Tick(now clock.Time) []Envelope {
	if !c.Busy() {
		return nil
	}
	if now.Sub(c.startedAt) >= c.timeout {
		c.State = StateUnresolved
		return nil
	}
	if now.Sub(c.sentAt) < retryInterval {
		return nil
	}
	return c.send(now)
}

// send returns the current message for all ranks that have not answered it.
func (c *VoteCoordinator) send(now clock.Time) []Envelope {
	c.sentAt = now
	if c.State == StateLoading {
		return c.broadcast(Message{Kind: KindLoad, Map: c.proposal.Map}, c.answered)
	}
	return c.broadcast(Message{Kind: KindPrepare, Step: c.proposal.Step, Map: c.proposal.Map}, c.answered)
}

func (c *VoteCoordinator) broadcast(m Message, except map[string]bool) []Envelope {
	m.From = c.name
	m.Fence = c.proposal.Fence
	m.Generation = c.generation
	var out []Envelope
	for _, name := range c.ranks {
		if !except[name] {
			out = append(out, Envelope{To: name, Message: m})
		}
	}
	return out
}

// Handle processes one answer of a rank and returns the messages to send.
func (c *VoteCoordinator) Handle(now clock.Time, m Message) []Envelope {
	if m.View == nil || !slices.Contains(c.ranks, m.From) {
		return nil
	}
	c.highest = maxFence(c.highest, m.View.Highest)
	if m.Fence != c.proposal.Fence {
		return nil
	}
	switch {
	case m.Kind == KindRefuse && c.Busy():
		c.finish(StateAborted)
		return c.broadcast(Message{Kind: KindAbort}, nil)
	case m.Kind == KindLoaded && c.State == StateLoading:
		return c.handleLoaded(now, m)
	case m.Kind == KindPromise && c.State == StatePreparing && m.Generation == c.generation:
		return c.handlePromise(m)
	}
	return nil
}

func (c *VoteCoordinator) handleLoaded(now clock.Time, m Message) []Envelope {
	if m.View.Generation.Count >= c.generation.Count {
		c.generation = m.View.Generation
	}
	c.step = max(c.step, m.View.Step)
	c.answered[m.From] = true
	if len(c.answered) < len(c.ranks) {
		return nil
	}
	clear(c.answered)
	c.State = StatePreparing
	c.proposal.Step = c.step + c.margin
	return c.send(now)
}

func (c *VoteCoordinator) handlePromise(m Message) []Envelope {
	c.answered[m.From] = true
	if len(c.answered) < len(c.ranks) {
		return nil
	}
	c.finish(StateCommitted)
	return c.broadcast(Message{Kind: KindCommit}, nil)
}

func (c *VoteCoordinator) finish(state string) {
	c.State = state
	clear(c.answered)
}
