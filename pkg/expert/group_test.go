package expert

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// Bounds of the switch's tests.
const (
	tickEvery    = 50 * clock.Millisecond
	recoverTicks = 100 // within which the group must advance after the faults end: 5 s
)

// group is a lock-step group of ranks whose messages go astray, with two planners.
type group struct {
	now      clock.Time
	names    []string
	ranks    map[string]*Rank
	planners map[string]*Coordinator
	wire     []Envelope
	step     uint64           // that the ranks are in
	used     map[string]Fence // map of each rank that has begun the step
	marks    uint64
	lives    uint32
	side     map[string]bool // ranks beyond the partition
	paused   map[string][]Message
}

func newGroup(ranks int) *group {
	g := &group{
		ranks: map[string]*Rank{}, planners: map[string]*Coordinator{}, used: map[string]Fence{}, step: 1,
		side: map[string]bool{}, paused: map[string][]Message{},
	}
	for i := range ranks {
		g.names = append(g.names, fmt.Sprint("rank", i))
	}
	for _, name := range g.names {
		g.restart(name)
	}
	for _, name := range []string{"planner0", "planner1"} {
		g.kill(name)
	}
	return g
}

func (g *group) restart(name string) {
	g.marks += 1 << 32
	g.ranks[name] = NewRank(name, g.names, Map{{{0}}}, g.marks)
	delete(g.used, name)
	delete(g.paused, name)
}

// kill replaces a planner by one that knows nothing of its orders.
func (g *group) kill(planner string) {
	g.lives++
	g.planners[planner] = NewCoordinator(planner, g.lives, g.names, 2, 2*clock.Second)
}

func (g *group) send(from string, out []Envelope) {
	for _, e := range out {
		if g.side[from] == g.side[e.To] {
			g.wire = append(g.wire, e)
		}
	}
}

func (g *group) deliver(e Envelope) {
	if held, ok := g.paused[e.To]; ok {
		g.paused[e.To] = append(held, e.Message)
		return
	}
	if p, ok := g.planners[e.To]; ok {
		g.send(e.To, p.Handle(g.now, e.Message))
		return
	}
	g.send(e.To, g.ranks[e.To].Handle(g.now, e.Message))
}

func (g *group) take(i int) Envelope {
	e := g.wire[i]
	g.wire = append(g.wire[:i:i], g.wire[i+1:]...)
	return e
}

func (g *group) tick() {
	g.now = g.now.Add(tickEvery)
	for _, name := range g.names {
		if _, ok := g.paused[name]; !ok {
			g.send(name, g.ranks[name].Tick(g.now))
		}
	}
	for _, name := range []string{"planner0", "planner1"} {
		g.send(name, g.planners[name].Tick(g.now))
	}
}

// begin lets a rank begin the group's step; all that are in a step must use one map.
func (g *group) begin(t require.TestingT, name string) {
	if _, in := g.used[name]; in || g.paused[name] != nil {
		return
	}
	use, ok := g.ranks[name].Begin(g.step)
	if !ok {
		return
	}
	g.used[name] = use.Fence
	for other, f := range g.used {
		require.Equal(t, use.Fence, f, "step %d: %s and %s use two maps", g.step, name, other)
	}
	if len(g.used) == len(g.names) {
		g.step++
		clear(g.used)
	}
}

func (g *group) load(name string) {
	if use, ok := g.ranks[name].Wants(); ok {
		g.send(name, g.ranks[name].Loaded(use.Fence))
	}
}

func (g *group) wake(name string) {
	held := g.paused[name]
	delete(g.paused, name)
	for _, m := range held {
		g.deliver(Envelope{To: name, Message: m})
	}
}

// round passes a tick without faults.
func (g *group) round(t require.TestingT) {
	g.tick()
	for len(g.wire) > 0 {
		g.deliver(g.take(0))
	}
	for _, name := range g.names {
		g.load(name)
	}
	for _, name := range g.names {
		g.begin(t, name)
	}
}

// assertAdvances ends all faults and waits for the group to pass the step, within the stated time.
func (g *group) assertAdvances(t require.TestingT, to uint64) {
	clear(g.side)
	for _, name := range g.names {
		g.wake(name)
	}
	for range recoverTicks {
		if g.step > to {
			return
		}
		g.round(t)
	}
	for _, name := range g.names {
		v := g.ranks[name].View()
		require.Greater(t, g.step, to, "%s: %+v locks %v", name, v, g.ranks[name].locks)
	}
}

func (g *group) assertSwitched(t require.TestingT, planner string) {
	for range 20 {
		g.round(t)
	}
	require.Equal(t, Committed, g.planners[planner].State)
	for _, name := range g.names {
		require.Equal(t, g.planners[planner].Fence(), g.ranks[name].now.Fence)
	}
}

func (g *group) propose(name string, number uint64) {
	g.send(name, g.planners[name].Propose(g.now, number, Map{{{int(number)}}}))
}

// quietly delivers all that is on the wire once and loads what is wanted, without a step.
func (g *group) quietly() {
	g.tick()
	for range len(g.wire) {
		g.deliver(g.take(0))
	}
	for _, name := range g.names {
		g.load(name)
	}
}

// deliverTo delivers all messages to one process, the oldest first.
func (g *group) deliverTo(name string) {
	var rest, mine []Envelope
	for _, e := range g.wire {
		if e.To == name {
			mine = append(mine, e)
		} else {
			rest = append(rest, e)
		}
	}
	g.wire = rest
	for _, e := range mine {
		g.deliver(e)
	}
}
