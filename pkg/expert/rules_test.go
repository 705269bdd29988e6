package expert

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// trio returns three warm ranks whose order of planner0 is loaded, the prepares still on the wire.
func trio(t *testing.T) *group {
	g := newGroup(3)
	g.assertAdvances(t, 20)
	g.propose("planner0", 1)
	for g.planners["planner0"].State == Loading {
		g.quietly()
	}
	require.Equal(t, Preparing, g.planners["planner0"].State)
	return g
}

// pick takes the messages of a kind to a process off the wire.
func (g *group) pick(kind, to string) []Envelope {
	var found, rest []Envelope
	for _, e := range g.wire {
		if e.To == to && e.Message.Kind == kind {
			found = append(found, e)
		} else {
			rest = append(rest, e)
		}
	}
	g.wire = rest
	return found
}

func (g *group) pass(kind, to string) {
	for _, e := range g.pick(kind, to) {
		g.deliver(e)
	}
}

// promised brings the trio to the point where all have promised and the commits are on the wire.
func promised(t *testing.T) *group {
	g := trio(t)
	for _, name := range g.names {
		g.pass(Prepare, name)
	}
	g.pass(Promise, "planner0")
	require.Equal(t, Committed, g.planners["planner0"].State)
	return g
}

// asking returns the ask of a rank to another.
func (g *group) asking(from, to string) Envelope {
	g.now = g.now.Add(yieldFor)
	for _, e := range g.ranks[from].Tick(g.now) {
		if e.To == to {
			return e
		}
	}
	return Envelope{}
}

func assertPromised(t *testing.T, r *Rank) {
	require.NotNil(t, r.promise)
	assert.Nil(t, r.next)
}

func TestRules(t *testing.T) {
	t.Run("a cold rank doesn't vote", func(t *testing.T) {
		g := trio(t)
		g.restart("rank1")
		for _, e := range g.pick(Prepare, "rank1") {
			assert.Empty(t, g.ranks["rank1"].Handle(g.now, e.Message))
		}
	})
	t.Run("a planner that gives up tells nobody to abort", func(t *testing.T) {
		g := trio(t)
		assert.Empty(t, g.planners["planner0"].Tick(g.now.Add(10*clock.Second)))
		assert.Equal(t, Unresolved, g.planners["planner0"].State)
	})
	t.Run("a rank that has answered a joining one takes no order", func(t *testing.T) {
		g := promised(t)
		g.restart("rank1")
		g.deliver(g.asking("rank1", "rank0"))
		g.pass(Commit, "rank0")
		assertPromised(t, g.ranks["rank0"])
	})
	t.Run("a late answer from before a restart doesn't free the rank to decide", func(t *testing.T) {
		g := promised(t)
		g.ranks["rank0"].Begin(g.ranks["rank0"].promise.Step)
		g.deliver(g.asking("rank0", "rank1"))
		late := g.pick(Tell, "rank0")
		require.Len(t, late, 1)
		g.restart("rank1")
		g.deliver(g.asking("rank1", "rank0"))
		g.deliver(late[0])
		g.pass(Commit, "rank0")
		assertPromised(t, g.ranks["rank0"])
	})
	t.Run("a rank that has answered an undecided one never promises that order", func(t *testing.T) {
		g := trio(t)
		g.pass(Prepare, "rank1")
		g.ranks["rank1"].Begin(g.ranks["rank1"].promise.Step)
		g.deliver(g.asking("rank1", "rank0"))
		g.pass(Prepare, "rank0")
		assert.Nil(t, g.ranks["rank0"].promise)
	})
	t.Run("an order of an older generation is refused", func(t *testing.T) {
		g := trio(t)
		m := g.pick(Prepare, "rank0")[0].Message
		g.wire = nil
		g.restart("rank1")
		g.assertAdvances(t, g.step)
		out := g.ranks["rank0"].Handle(g.now, m)
		require.Len(t, out, 1)
		assert.Equal(t, Refuse, out[0].Message.Kind)
	})
	t.Run("the outcome of an older generation is ignored", func(t *testing.T) {
		g := promised(t)
		r := g.ranks["rank0"]
		r.generation.Count++
		g.pass(Commit, "rank0")
		assertPromised(t, r)
	})
	t.Run("a rank that has promised keeps to it while a joining one asks", func(t *testing.T) {
		g := promised(t)
		g.restart("rank1")
		r := g.ranks["rank0"]
		g.deliver(g.asking("rank1", "rank0"))
		_, ok := r.Begin(r.promise.Step)
		assert.False(t, ok)
	})
	t.Run("a rank that has answered a joining one promises nothing", func(t *testing.T) {
		g := trio(t)
		g.restart("rank1")
		g.deliver(g.asking("rank1", "rank0"))
		g.pass(Prepare, "rank0")
		assert.Nil(t, g.ranks["rank0"].promise)
	})
	t.Run("a state that rests on an older answer is ignored", func(t *testing.T) {
		g := newGroup(3)
		g.assertAdvances(t, 20)
		g.restart("rank1")
		g.restart("rank2")
		g.deliver(g.asking("rank1", "rank0"))
		g.deliver(g.asking("rank1", "rank2"))
		g.pass(Tell, "rank1")
		late := g.pick(Join, "rank2")
		require.Len(t, late, 1)
		g.restart("rank0")
		g.deliver(g.asking("rank0", "rank2"))
		g.deliver(late[0])
		assert.True(t, g.ranks["rank2"].cold)
	})
	t.Run("a state that rests on no answer is ignored", func(t *testing.T) {
		g := trio(t)
		v := g.ranks["rank1"].View()
		v.Generation.Count = 99
		g.deliver(Envelope{To: "rank0", Message: Message{Kind: Join, From: "rank1", View: &v}})
		assert.NotEqual(t, v.Generation, g.ranks["rank0"].generation)
	})
	t.Run("two lives of a planner never give one fencing number", func(t *testing.T) {
		first := NewCoordinator("planner0", 1, nil, 2, clock.Second)
		second := NewCoordinator("planner0", 2, nil, 2, clock.Second)
		first.Propose(0, 1, nil)
		second.Propose(0, 1, nil)
		assert.NotEqual(t, first.Fence(), second.Fence())
	})
	t.Run("an order above the present ticket number goes on counting", func(t *testing.T) {
		c := NewCoordinator("planner0", 1, nil, 2, clock.Second)
		c.Propose(0, 1, nil)
		first := c.Fence()
		c.State = Aborted
		c.Propose(0, 1, nil)
		assert.True(t, first.Less(c.Fence()))
	})
}
