package expert

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
)

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
