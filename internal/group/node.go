package group

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"carawaypick/internal/lifecycle"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Timing and limits of a node.
const (
	tickInterval = 20 * clock.Millisecond // between two ticks of the rank and the coordinator
	sendTimeout  = 1 * clock.Second       // for one message
	queueSize    = 256                    // messages to one rank; those that do not fit are dropped, and the switch sends them again
)

// Settings is the configuration of a node.
type Settings struct {
	Group           string
	Name            string
	Ranks           []string   // names of the agents, by rank
	InitialMap      expert.Map // first map of a new group
	Margin          uint64     // steps from the newest known step to the first one with the new map
	ProposalTimeout clock.Span // ms after which the coordinator gives up a proposal and the ranks decide on it by querying one another
	PauseTimeout    clock.Span // ms without a tick after which the process counts as paused
}

// Node takes part in the map switches of a group for one rank. Its function fields are set before Run.
type Node struct {
	peerpb.UnimplementedGroupServer

	Send         func(ctx context.Context, to string, m *peerpb.SwitchMessage) error // sends a message to an agent by name
	Load         func(ctx context.Context, activation expert.Activation) error       // loads the weights of a map at the store's throughput
	Activate     func(ctx context.Context, activation expert.Activation) error       // sets the engine's map for the step that it is about to begin
	LiveAgents   func() []string                                                     // names of the group's live agents
	TicketNumber func() uint64                                                       // newest ticket number

	settings    Settings
	clock       clock.Clock
	mu          sync.Mutex
	rank        *expert.Rank
	coordinator *expert.VoteCoordinator
	planner     *expert.Planner
	lastTick    clock.Time
	queues      map[string]chan expert.Message
	loads       chan expert.Activation
}

// ErrInvalidMessage is returned for a message that belongs to another group, comes from an unknown sender or can't be decoded.
var ErrInvalidMessage = errors.New("no message of this group")

// ErrStepNotReady is returned if the engine must retry to begin its step.
var ErrStepNotReady = errors.New("the step may not begin yet")

// NewNode returns a node that has not joined its group yet; nonce is random.
func NewNode(s Settings, c clock.Clock, nonce uint64) *Node {
	n := &Node{
		settings:    s,
		clock:       c,
		rank:        expert.NewRank(s.Name, s.Ranks, s.InitialMap, nonce),
		coordinator: expert.NewVoteCoordinator(s.Name, uint32(nonce), s.Ranks, s.Margin, s.ProposalTimeout),
		planner:     expert.NewPlanner(expert.PacedSettings()),
		lastTick:    c.Now(),
		queues:      map[string]chan expert.Message{},
		loads:       make(chan expert.Activation, 1),
	}
	for _, name := range s.Ranks {
		n.queues[name] = make(chan expert.Message, queueSize)
	}
	return n
}

// Run sends messages, loads weights and ticks the switch until ctx ends. The channel reports when all of these have stopped.
func (n *Node) Run(ctx context.Context) <-chan error {
	return lifecycle.Start(ctx, func(ctx context.Context) error {
		var wg conc.WaitGroup
		for name, queue := range n.queues {
			wg.Go(func() { n.runSender(ctx, name, queue) })
		}
		wg.Go(func() { n.runLoader(ctx) })
		wg.Go(func() { n.runTicker(ctx) })
		wg.Wait()
		return nil
	})
}

func (n *Node) runSender(ctx context.Context, to string, queue <-chan expert.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			n.sendOne(ctx, to, m)
		}
	}
}

// sendOne sends one message; it ignores errors, because the switch sends lost messages again.
func (n *Node) sendOne(ctx context.Context, to string, m expert.Message) {
	content, err := json.Marshal(m)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	_ = n.Send(ctx, to, &peerpb.SwitchMessage{Group: n.settings.Group, Content: content})
}

// runLoader loads one map at a time; the rank requests a failed load again.
func (n *Node) runLoader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case activation := <-n.loads:
			if n.Load(ctx, activation) == nil {
				n.markLoaded(activation.Fence)
			}
		}
	}
}

func (n *Node) markLoaded(fence expert.Fence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.post(n.rank.MarkLoaded(fence))
}

func (n *Node) runTicker(ctx context.Context) {
	t := time.NewTicker(tickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.tick()
		}
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.lastTick = now
	n.post(n.rank.Tick(now))
	n.post(n.coordinator.Tick(now))
	if activation, ok := n.rank.NextLoad(); ok {
		select {
		case n.loads <- activation:
		default:
		}
	}
}

// post queues messages to other agents, drops them if the queue is full, and handles those to this agent at once.
func (n *Node) post(out []expert.Envelope) {
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		if e.To == n.settings.Name {
			out = append(out, n.handle(e.Message)...)
			continue
		}
		select {
		case n.queues[e.To] <- e.Message:
		default:
		}
	}
}

// handle passes a message to the coordinator or the rank by its kind and returns the messages to send.
func (n *Node) handle(m expert.Message) []expert.Envelope {
	switch m.Kind {
	case expert.KindLoaded, expert.KindPromise, expert.KindRefuse:
		return n.coordinator.Handle(n.clock.Now(), m)
	}
	return n.rank.Handle(n.clock.Now(), m)
}

// Switch handles a message from another agent, or returns ErrInvalidMessage.
func (n *Node) Switch(_ context.Context, in *peerpb.SwitchMessage) (_ *peerpb.SwitchMessage, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "switch map")
		}
	}()
	var m expert.Message
	if in.GetGroup() != n.settings.Group {
		return nil, ErrInvalidMessage
	}
	if err := json.Unmarshal(in.GetContent(), &m); err != nil {
		return nil, ErrInvalidMessage
	}
	if _, known := n.queues[m.From]; !known {
		return nil, ErrInvalidMessage
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.post(n.handle(m))
	return &peerpb.SwitchMessage{Group: n.settings.Group}, nil
}
