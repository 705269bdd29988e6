package expert

import (
	"slices"

	"carawaypick/pkg/clock"
)

// States of a coordinator's order.
const (
	Idle       = "idle"
	Loading    = "loading"
	Preparing  = "preparing"
	Committed  = "committed"
	Aborted    = "aborted"
	Unresolved = "unresolved" // the ranks decide by themselves
)

// Coordinator is a planner's part of the switch: it carries one order at a time.
type Coordinator struct {
	State string

	name   string
	mark   uint32 // random, the lower bits of each epoch
	ranks  []string
	margin uint64     // steps from the newest known one to the first of the next map
	give   clock.Span // ms after which it leaves an order to the ranks

	use        Use
	generation Generation
	highest    Fence
	step       uint64
	heard      map[string]bool
	started    clock.Time
	sent       clock.Time
}

// markBits is the number of an epoch's lower bits that name the planner's life.
const markBits = 32

// NewCoordinator returns a planner's part for the group; mark is random, margin in steps,
// and give the ms after which it gives an order up.
func NewCoordinator(name string, mark uint32, ranks []string, margin uint64, give clock.Span) *Coordinator {
	return &Coordinator{State: Idle, name: name, mark: mark, ranks: ranks, margin: margin, give: give, heard: map[string]bool{}}
}

// Busy says whether an order is under way.
func (c *Coordinator) Busy() bool {
	return c.State == Loading || c.State == Preparing
}

// Propose begins the switch to a map under a ticket number and returns what to send; it does nothing while busy.
func (c *Coordinator) Propose(now clock.Time, number uint64, m Map) []Envelope {
	if c.Busy() {
		return nil
	}
	f := c.above(number)
	c.highest = f
	c.use = Use{Fence: f, Map: m}
	c.generation = Generation{}
	c.step = 0
	clear(c.heard)
	c.State = Loading
	c.started = now
	return c.send(now)
}

// above returns a fencing number above all known ones that no other planner and no other life of this one gives.
func (c *Coordinator) above(number uint64) Fence {
	f := Fence{Number: max(number, c.highest.Number)}
	if f.Number == c.highest.Number {
		f.Epoch = c.highest.Epoch >> markBits
	}
	f.Epoch = (f.Epoch+1)<<markBits | uint64(c.mark)
	return f
}

// Fence returns the fencing number of the newest order.
func (c *Coordinator) Fence() Fence {
	return c.use.Fence
}

// Tick returns what to send as time passes.
func (c *Coordinator) Tick(now clock.Time) []Envelope {
	if !c.Busy() {
		return nil
	}
	if now.Sub(c.started) >= c.give {
		c.State = Unresolved
		return nil
	}
	if now.Sub(c.sent) < retryAfter {
		return nil
	}
	return c.send(now)
}

// send repeats the present message to all that haven't answered it.
func (c *Coordinator) send(now clock.Time) []Envelope {
	c.sent = now
	if c.State == Loading {
		return c.toAll(Message{Kind: Load, Map: c.use.Map}, c.heard)
	}
	return c.toAll(Message{Kind: Prepare, Step: c.use.Step, Map: c.use.Map}, c.heard)
}

func (c *Coordinator) toAll(m Message, except map[string]bool) []Envelope {
	m.From = c.name
	m.Fence = c.use.Fence
	m.Generation = c.generation
	var out []Envelope
	for _, name := range c.ranks {
		if !except[name] {
			out = append(out, Envelope{To: name, Message: m})
		}
	}
	return out
}

// Handle takes one answer of a rank and returns what to send.
func (c *Coordinator) Handle(now clock.Time, m Message) []Envelope {
	if m.View == nil || !slices.Contains(c.ranks, m.From) {
		return nil
	}
	c.highest = higher(c.highest, m.View.Highest)
	if m.Fence != c.use.Fence {
		return nil
	}
	switch {
	case m.Kind == Refuse && c.Busy():
		c.finish(Aborted)
		return c.toAll(Message{Kind: Abort}, nil)
	case m.Kind == Loaded && c.State == Loading:
		return c.loaded(now, m)
	case m.Kind == Promise && c.State == Preparing && m.Generation == c.generation:
		return c.promised(m)
	}
	return nil
}

func (c *Coordinator) loaded(now clock.Time, m Message) []Envelope {
	if m.View.Generation.Count >= c.generation.Count {
		c.generation = m.View.Generation
	}
	c.step = max(c.step, m.View.Step)
	c.heard[m.From] = true
	if len(c.heard) < len(c.ranks) {
		return nil
	}
	clear(c.heard)
	c.State = Preparing
	c.use.Step = c.step + c.margin
	return c.send(now)
}

func (c *Coordinator) promised(m Message) []Envelope {
	c.heard[m.From] = true
	if len(c.heard) < len(c.ranks) {
		return nil
	}
	c.finish(Committed)
	return c.toAll(Message{Kind: Commit}, nil)
}

func (c *Coordinator) finish(state string) {
	c.State = state
	clear(c.heard)
}
