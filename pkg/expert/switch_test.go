package expert

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
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
	for name, p := range g.planners {
		g.send(name, p.Tick(g.now))
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

func TestSwitch(t *testing.T) {
	for _, ranks := range []int{1, 2, 8, 32} {
		t.Run(fmt.Sprintf("%d ranks switch together", ranks), func(t *testing.T) {
			g := newGroup(ranks)
			g.assertAdvances(t, 20)
			g.propose("planner0", 1)
			g.assertSwitched(t, "planner0")
		})
	}
	t.Run("a second planner's order waits for its turn", func(t *testing.T) {
		g := newGroup(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		g.propose("planner1", 1)
		g.assertAdvances(t, 20)
		for range 60 {
			g.round(t)
		}
		g.propose("planner1", 2)
		g.assertSwitched(t, "planner1")
	})
	t.Run("ranks end an order whose planner died after some commits", func(t *testing.T) {
		g := newGroup(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		for g.planners["planner0"].State != Committed {
			for _, name := range g.names {
				g.load(name)
			}
			if len(g.wire) == 0 {
				g.tick()
				continue
			}
			g.deliver(g.take(0))
		}
		g.wire = g.wire[:1]
		g.assertAdvances(t, g.step+10)
		require.Equal(t, uint64(1), g.ranks["rank3"].now.Fence.Number)
	})
	t.Run("a cold rank joins and uses the group's map", func(t *testing.T) {
		g := newGroup(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		g.assertSwitched(t, "planner0")
		g.restart("rank2")
		g.assertAdvances(t, g.step+5)
		require.Equal(t, uint64(1), g.ranks["rank2"].now.Fence.Number)
	})
}

func TestSwitchFaults(t *testing.T) {
	t.Run("never two maps in a step, and the group goes on after the faults", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			g := newGroup(rapid.IntRange(2, 4).Draw(t, "ranks"))
			g.assertAdvances(t, 3)
			for range rapid.IntRange(1, 150).Draw(t, "actions") {
				g.fault(t)
			}
			g.assertAdvances(t, g.step+10)
		})
	})
	t.Run("holds while ranks restart in the middle of a vote", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			g := newGroup(rapid.IntRange(2, 4).Draw(t, "ranks"))
			g.assertAdvances(t, 20)
			for range rapid.IntRange(1, 3).Draw(t, "votes") {
				g.vote(t)
			}
			g.assertAdvances(t, g.step+10)
		})
	})
}

// vote brings an order to the point where all ranks are asked to promise it, and then has things go wrong.
func (g *group) vote(t *rapid.T) {
	planner := rapid.SampledFrom([]string{"planner0", "planner1"}).Draw(t, "planner")
	g.propose(planner, uint64(rapid.IntRange(1, 3).Draw(t, "number")))
	for range 40 {
		if g.planners[planner].State != Loading {
			break
		}
		g.quietly()
	}
	for range rapid.IntRange(1, 60).Draw(t, "actions") {
		g.disturb(t)
	}
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

// disturb does one thing of those that may happen while ranks vote and join.
func (g *group) disturb(t *rapid.T) {
	name := rapid.SampledFrom(g.names).Draw(t, "rank")
	kind := rapid.SampledFrom([]string{
		"one", "one", "one", "one", "one", "one", "rank", "rank", "step", "step", "cold", "tick", "tick", "double", "drop",
	}).Draw(t, "kind")
	switch kind {
	case "one":
		g.message(t, "deliver")
	case "rank":
		g.deliverTo(name)
	case "step":
		g.load(name)
		g.begin(t, name)
	case "cold":
		g.restart(name)
	case "tick":
		for range 4 {
			g.tick()
		}
	default:
		g.message(t, kind)
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

// fault does one thing of those that may happen at any moment.
func (g *group) fault(t *rapid.T) {
	name := rapid.SampledFrom(g.names).Draw(t, "rank")
	planner := rapid.SampledFrom([]string{"planner0", "planner1"}).Draw(t, "planner")
	kind := rapid.SampledFrom([]string{
		"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "step", "step", "step", "load", "load",
		"tick", "tick", "propose", "drop", "double", "cold", "pause", "wake", "part", "heal", "kill",
	}).Draw(t, "kind")
	switch kind {
	case "step":
		for _, name := range g.names {
			g.begin(t, name)
		}
	case "load":
		for _, name := range g.names {
			g.load(name)
		}
	case "tick":
		for range 4 {
			g.tick()
		}
	case "propose":
		g.propose(planner, uint64(rapid.IntRange(1, 3).Draw(t, "number")))
	case "cold":
		g.restart(name)
	case "pause":
		g.paused[name] = append([]Message{}, g.paused[name]...)
	case "wake":
		g.wake(name)
	case "part":
		g.side[name] = true
	case "heal":
		clear(g.side)
	case "kill":
		g.kill(planner)
	default:
		g.message(t, kind)
	}
}

func (g *group) message(t *rapid.T, kind string) {
	if len(g.wire) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.wire)-1).Draw(t, "message")
	switch kind {
	case "deliver":
		g.deliver(g.take(i))
	case "double":
		g.deliver(g.wire[i])
	case "drop":
		g.take(i)
	}
}
