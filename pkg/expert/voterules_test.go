package expert

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// preparingGroup returns three joined ranks that have loaded planner0's proposal; the prepare messages are in flight.
func preparingGroup(t *testing.T) *voteSimulation {
	g := newVoteSimulation(3)
	g.assertAdvances(t, 20)
	g.propose("planner0", 1)
	for g.planners["planner0"].State == StateLoading {
		g.runWithoutStep()
	}
	require.Equal(t, StatePreparing, g.planners["planner0"].State)
	return g
}

// takeMessages removes the messages of a kind to a process from those in flight.
func (g *voteSimulation) takeMessages(kind, to string) []Envelope {
	var found, rest []Envelope
	for _, e := range g.inFlight {
		if e.To == to && e.Message.Kind == kind {
			found = append(found, e)
		} else {
			rest = append(rest, e)
		}
	}
	g.inFlight = rest
	return found
}

func (g *voteSimulation) deliverKind(kind, to string) {
	for _, e := range g.takeMessages(kind, to) {
		g.deliver(e)
	}
}

// committedGroup returns three ranks that have promised a proposal; the commit messages are in flight.
func committedGroup(t *testing.T) *voteSimulation {
	g := preparingGroup(t)
	for _, name := range g.names {
		g.deliverKind(KindPrepare, name)
	}
	g.deliverKind(KindPromise, "planner0")
	require.Equal(t, StateCommitted, g.planners["planner0"].State)
	return g
}

// query returns a rank's query to another rank.
func (g *voteSimulation) query(from, to string) Envelope {
	g.now = g.now.Add(joinBackoff)
	for _, e := range g.ranks[from].Tick(g.now) {
		if e.To == to {
			return e
		}
	}
	return Envelope{}
}

func assertUndecided(t *testing.T, r *Rank) {
	require.NotNil(t, r.promised)
	assert.Nil(t, r.next)
}

func TestVoteRules(t *testing.T) {
	t.Run("a cold rank does not vote", func(t *testing.T) {
		g := preparingGroup(t)
		g.restart("rank1")
		for _, e := range g.takeMessages(KindPrepare, "rank1") {
			assert.Empty(t, g.ranks["rank1"].Handle(g.now, e.Message))
		}
	})
	t.Run("a planner that times out sends no abort", func(t *testing.T) {
		g := preparingGroup(t)
		assert.Empty(t, g.planners["planner0"].Tick(g.now.Add(10*clock.Second)))
		assert.Equal(t, StateUnresolved, g.planners["planner0"].State)
	})
	t.Run("a rank that has replied to a joining one ignores a commit", func(t *testing.T) {
		g := committedGroup(t)
		g.restart("rank1")
		g.deliver(g.query("rank1", "rank0"))
		g.deliverKind(KindCommit, "rank0")
		assertUndecided(t, g.ranks["rank0"])
	})
	t.Run("a late reply from before a restart does not unlock decisions", func(t *testing.T) {
		g := committedGroup(t)
		g.ranks["rank0"].BeginStep(g.ranks["rank0"].promised.Step)
		g.deliver(g.query("rank0", "rank1"))
		late := g.takeMessages(KindQueryReply, "rank0")
		require.Len(t, late, 1)
		g.restart("rank1")
		g.deliver(g.query("rank1", "rank0"))
		g.deliver(late[0])
		g.deliverKind(KindCommit, "rank0")
		assertUndecided(t, g.ranks["rank0"])
	})
	t.Run("a rank that has replied to a query about a proposal never promises that proposal", func(t *testing.T) {
		g := preparingGroup(t)
		g.deliverKind(KindPrepare, "rank1")
		g.ranks["rank1"].BeginStep(g.ranks["rank1"].promised.Step)
		g.deliver(g.query("rank1", "rank0"))
		g.deliverKind(KindPrepare, "rank0")
		assert.Nil(t, g.ranks["rank0"].promised)
	})
	t.Run("a proposal of an older generation is refused", func(t *testing.T) {
		g := preparingGroup(t)
		m := g.takeMessages(KindPrepare, "rank0")[0].Message
		g.inFlight = nil
		g.restart("rank1")
		g.assertAdvances(t, g.step)
		out := g.ranks["rank0"].Handle(g.now, m)
		require.Len(t, out, 1)
		assert.Equal(t, KindRefuse, out[0].Message.Kind)
	})
	t.Run("the outcome of an older generation is ignored", func(t *testing.T) {
		g := committedGroup(t)
		r := g.ranks["rank0"]
		r.generation.Count++
		g.deliverKind(KindCommit, "rank0")
		assertUndecided(t, r)
	})
	t.Run("a rank keeps its promise while a joining one queries it", func(t *testing.T) {
		g := committedGroup(t)
		g.restart("rank1")
		r := g.ranks["rank0"]
		g.deliver(g.query("rank1", "rank0"))
		_, ok := r.BeginStep(r.promised.Step)
		assert.False(t, ok)
	})
	t.Run("a rank that has replied to a joining one promises nothing", func(t *testing.T) {
		g := preparingGroup(t)
		g.restart("rank1")
		g.deliver(g.query("rank1", "rank0"))
		g.deliverKind(KindPrepare, "rank0")
		assert.Nil(t, g.ranks["rank0"].promised)
	})
	t.Run("a join message based on an older reply is ignored", func(t *testing.T) {
		g := newVoteSimulation(3)
		g.assertAdvances(t, 20)
		g.restart("rank1")
		g.restart("rank2")
		g.deliver(g.query("rank1", "rank0"))
		g.deliver(g.query("rank1", "rank2"))
		g.deliverKind(KindQueryReply, "rank1")
		late := g.takeMessages(KindJoin, "rank2")
		require.Len(t, late, 1)
		g.restart("rank0")
		g.deliver(g.query("rank0", "rank2"))
		g.deliver(late[0])
		assert.True(t, g.ranks["rank2"].cold)
	})
	t.Run("a join message without a reply is ignored", func(t *testing.T) {
		g := preparingGroup(t)
		v := g.ranks["rank1"].View()
		v.Generation.Count = 99
		g.deliver(Envelope{To: "rank0", Message: Message{Kind: KindJoin, From: "rank1", View: &v}})
		assert.NotEqual(t, v.Generation, g.ranks["rank0"].generation)
	})
	t.Run("two incarnations of a planner never issue the same fence", func(t *testing.T) {
		first := NewVoteCoordinator("planner0", 1, nil, 2, clock.Second)
		second := NewVoteCoordinator("planner0", 2, nil, 2, clock.Second)
		first.Propose(0, 1, nil)
		second.Propose(0, 1, nil)
		assert.NotEqual(t, first.Fence(), second.Fence())
	})
	t.Run("a second proposal under one ticket number gets a higher fence", func(t *testing.T) {
		c := NewVoteCoordinator("planner0", 1, nil, 2, clock.Second)
		c.Propose(0, 1, nil)
		first := c.Fence()
		c.State = StateAborted
		c.Propose(0, 1, nil)
		assert.True(t, first.Less(c.Fence()))
	})
}
