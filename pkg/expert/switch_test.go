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
			g := newVoteSimulation(ranks)
			g.assertAdvances(t, 20)
			g.propose("planner0", 1)
			g.assertSwitched(t, "planner0")
		})
	}
	t.Run("a second planner switches after the first", func(t *testing.T) {
		g := newVoteSimulation(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		g.propose("planner1", 1)
		g.assertAdvances(t, 20)
		for range 60 {
			g.runRound(t)
		}
		g.propose("planner1", 2)
		g.assertSwitched(t, "planner1")
	})
	t.Run("ranks complete a proposal whose planner died after some commits", func(t *testing.T) {
		g := newVoteSimulation(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		for g.planners["planner0"].State != StateCommitted {
			for _, name := range g.names {
				g.loadNext(name)
			}
			if len(g.inFlight) == 0 {
				g.tick()
				continue
			}
			g.deliver(g.removeMessage(0))
		}
		g.inFlight = g.inFlight[:1]
		g.assertAdvances(t, g.step+10)
		require.Equal(t, uint64(1), g.ranks["rank3"].current.Fence.Number)
	})
	t.Run("a cold rank joins and uses the group's map", func(t *testing.T) {
		g := newVoteSimulation(4)
		g.assertAdvances(t, 20)
		g.propose("planner0", 1)
		g.assertSwitched(t, "planner0")
		g.restart("rank2")
		g.assertAdvances(t, g.step+5)
		require.Equal(t, uint64(1), g.ranks["rank2"].current.Fence.Number)
	})
}

func TestSwitchFaults(t *testing.T) {
	t.Run("never two maps in a step, and the group advances after the faults", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			g := newVoteSimulation(rapid.IntRange(2, 4).Draw(t, "ranks"))
			g.assertAdvances(t, 3)
			for range rapid.IntRange(1, 150).Draw(t, "actions") {
				g.injectFault(t)
			}
			g.assertAdvances(t, g.step+10)
		})
	})
	t.Run("never two maps in a step while ranks restart during a vote", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			g := newVoteSimulation(rapid.IntRange(2, 4).Draw(t, "ranks"))
			g.assertAdvances(t, 20)
			for range rapid.IntRange(1, 3).Draw(t, "votes") {
				g.voteUnderFaults(t)
			}
			g.assertAdvances(t, g.step+10)
		})
	})
}

// voteUnderFaults runs a proposal until the ranks are asked to promise it and then injects faults.
func (g *voteSimulation) voteUnderFaults(t *rapid.T) {
	planner := rapid.SampledFrom([]string{"planner0", "planner1"}).Draw(t, "planner")
	g.propose(planner, uint64(rapid.IntRange(1, 3).Draw(t, "number")))
	for range 40 {
		if g.planners[planner].State != StateLoading {
			break
		}
		g.runWithoutStep()
	}
	for range rapid.IntRange(1, 60).Draw(t, "actions") {
		g.injectVoteFault(t)
	}
}

// injectVoteFault runs one random action of those that can happen while ranks vote and join.
func (g *voteSimulation) injectVoteFault(t *rapid.T) {
	name := rapid.SampledFrom(g.names).Draw(t, "rank")
	kind := rapid.SampledFrom([]string{
		"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "rank", "rank", "step", "step", "cold", "tick", "tick", "duplicate", "drop",
	}).Draw(t, "kind")
	switch kind {
	case "deliver":
		g.injectMessageFault(t, "deliver")
	case "rank":
		g.deliverTo(name)
	case "step":
		g.loadNext(name)
		g.beginStep(t, name)
	case "cold":
		g.restart(name)
	case "tick":
		for range 4 {
			g.tick()
		}
	default:
		g.injectMessageFault(t, kind)
	}
}

// injectFault runs one random action of those that can happen at any time.
func (g *voteSimulation) injectFault(t *rapid.T) {
	name := rapid.SampledFrom(g.names).Draw(t, "rank")
	planner := rapid.SampledFrom([]string{"planner0", "planner1"}).Draw(t, "planner")
	kind := rapid.SampledFrom([]string{
		"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "step", "step", "step", "load", "load",
		"tick", "tick", "propose", "drop", "duplicate", "cold", "pause", "resume", "partition", "heal", "kill",
	}).Draw(t, "kind")
	switch kind {
	case "step":
		for _, name := range g.names {
			g.beginStep(t, name)
		}
	case "load":
		for _, name := range g.names {
			g.loadNext(name)
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
	case "resume":
		g.resume(name)
	case "partition":
		g.partitioned[name] = true
	case "heal":
		clear(g.partitioned)
	case "kill":
		g.replacePlanner(planner)
	default:
		g.injectMessageFault(t, kind)
	}
}

func (g *voteSimulation) injectMessageFault(t *rapid.T, kind string) {
	if len(g.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
	switch kind {
	case "deliver":
		g.deliver(g.removeMessage(i))
	case "duplicate":
		g.deliver(g.inFlight[i])
	case "drop":
		g.removeMessage(i)
	}
}
