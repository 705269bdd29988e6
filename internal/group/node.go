package group

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"carawaypick/internal/kernel"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Bounds of a node.
const (
	tickEvery  = 20 * clock.Millisecond
	sendLimit  = 1 * clock.Second // for one message
	queueLimit = 256              // messages waiting for one rank; what is above is lost and sent again
)

// Settings say which rank of which group a node drives.
type Settings struct {
	Group  string
	Name   string
	Ranks  []string   // names of the agents, in rank order
	First  expert.Map // of a group that has never had a map
	Margin uint64     // steps from the newest known one to the first of a new map
	Give   clock.Span // ms after which an order is left to the ranks
	Pause  clock.Span // ms without a tick after which the process counts as paused
}

// Node drives the switch of one rank; its function fields are set before Run.
type Node struct {
	peerpb.UnimplementedGroupServer

	Send   func(ctx context.Context, to string, m *peerpb.SwitchMessage) error
	Load   func(ctx context.Context, use expert.Use) error // fetches the weights of a map at the store's rate
	Order  func(ctx context.Context, use expert.Use) error // hands the engine the map of the step that it asks to begin
	Live   func() []string                                 // live agents of the group
	Number func() uint64                                   // newest ticket number

	settings    Settings
	clock       clock.Clock
	mu          sync.Mutex
	rank        *expert.Rank
	coordinator *expert.Coordinator
	planner     *expert.Planner
	ticked      clock.Time
	queues      map[string]chan expert.Message
	wants       chan expert.Use
}

// ErrGroup is returned for a message of another group or one that can't be read.
var ErrGroup = errors.New("no message of this group")

// ErrWait is returned where the engine must ask again to begin its step.
var ErrWait = errors.New("the step may not begin yet")

// NewNode returns a node that has just started; mark is random.
func NewNode(s Settings, c clock.Clock, mark uint64) *Node {
	n := &Node{
		settings:    s,
		clock:       c,
		rank:        expert.NewRank(s.Name, s.Ranks, s.First, mark),
		coordinator: expert.NewCoordinator(s.Name, uint32(mark), s.Ranks, s.Margin, s.Give),
		planner:     expert.NewPlanner(expert.Paced()),
		ticked:      c.Now(),
		queues:      map[string]chan expert.Message{},
		wants:       make(chan expert.Use, 1),
	}
	for _, name := range s.Ranks {
		n.queues[name] = make(chan expert.Message, queueLimit)
	}
	return n
}

// Run sends, loads and keeps time until the context ends, and reports once all of it has ended.
func (n *Node) Run(ctx context.Context) <-chan error {
	return kernel.Start(ctx, func(ctx context.Context) error {
		var wg conc.WaitGroup
		for name, queue := range n.queues {
			wg.Go(func() { n.sender(ctx, name, queue) })
		}
		wg.Go(func() { n.loader(ctx) })
		wg.Go(func() { n.ticker(ctx) })
		wg.Wait()
		return nil
	})
}

func (n *Node) sender(ctx context.Context, to string, queue <-chan expert.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			n.sendOne(ctx, to, m)
		}
	}
}

// sendOne sends one message; a lost one is sent again by the switch itself.
func (n *Node) sendOne(ctx context.Context, to string, m expert.Message) {
	content, err := json.Marshal(m)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendLimit.Duration())
	defer cancel()
	_ = n.Send(ctx, to, &peerpb.SwitchMessage{Group: n.settings.Group, Content: content})
}

func (n *Node) loader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case use := <-n.wants:
			if n.Load(ctx, use) == nil {
				n.loaded(use.Fence)
			}
		}
	}
}

func (n *Node) loaded(f expert.Fence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.post(n.rank.Loaded(f))
}

func (n *Node) ticker(ctx context.Context) {
	t := time.NewTicker(tickEvery.Duration())
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
	n.ticked = now
	n.post(n.rank.Tick(now))
	n.post(n.coordinator.Tick(now))
	if use, ok := n.rank.Wants(); ok {
		select {
		case n.wants <- use:
		default:
		}
	}
}

// post queues messages, and handles those to this process at once.
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

// handle gives a message to the planner's part or the rank's, by its kind.
func (n *Node) handle(m expert.Message) []expert.Envelope {
	switch m.Kind {
	case expert.Loaded, expert.Promise, expert.Refuse:
		return n.coordinator.Handle(n.clock.Now(), m)
	}
	return n.rank.Handle(n.clock.Now(), m)
}

// Switch takes one message from another process.
func (n *Node) Switch(_ context.Context, in *peerpb.SwitchMessage) (_ *peerpb.SwitchMessage, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "switch map")
		}
	}()
	var m expert.Message
	if in.GetGroup() != n.settings.Group {
		return nil, ErrGroup
	}
	if err := json.Unmarshal(in.GetContent(), &m); err != nil {
		return nil, ErrGroup
	}
	if _, known := n.queues[m.From]; !known {
		return nil, ErrGroup
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.post(n.handle(m))
	return &peerpb.SwitchMessage{Group: n.settings.Group}, nil
}
