package expert

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// Timing of the simulation.
const (
	tickInterval  = 50 * clock.Millisecond
	recoveryTicks = 100 // within which the group must advance once the faults end: 5 s
)

// voteSimulation simulates a lock-step group with two planners and an unreliable network.
type voteSimulation struct {
	now          clock.Time
	names        []string
	ranks        map[string]*Rank
	planners     map[string]*VoteCoordinator
	inFlight     []Envelope
	step         uint64           // current step of the ranks
	used         map[string]Fence // fence of the map of each rank that has begun the step
	nonces       uint64
	incarnations uint32
	partitioned  map[string]bool // processes on the far side of a network partition
	paused       map[string][]Message
}

func newVoteSimulation(ranks int) *voteSimulation {
	g := &voteSimulation{
		ranks: map[string]*Rank{}, planners: map[string]*VoteCoordinator{}, used: map[string]Fence{}, step: 1,
		partitioned: map[string]bool{}, paused: map[string][]Message{},
	}
	for i := range ranks {
		g.names = append(g.names, fmt.Sprint("rank", i))
	}
	for _, name := range g.names {
		g.restart(name)
	}
	for _, name := range []string{"planner0", "planner1"} {
		g.replacePlanner(name)
	}
	return g
}

func (g *voteSimulation) restart(name string) {
	g.nonces += 1 << 32
	g.ranks[name] = NewRank(name, g.names, Map{{{0}}}, g.nonces)
	delete(g.used, name)
	delete(g.paused, name)
}

// replacePlanner restarts a planner, which loses its state.
func (g *voteSimulation) replacePlanner(planner string) {
	g.incarnations++
	g.planners[planner] = NewVoteCoordinator(planner, g.incarnations, g.names, 2, 2*clock.Second)
}

func (g *voteSimulation) send(from string, out []Envelope) {
	for _, e := range out {
		if g.partitioned[from] == g.partitioned[e.To] {
			g.inFlight = append(g.inFlight, e)
		}
	}
}

func (g *voteSimulation) deliver(e Envelope) {
	if queued, ok := g.paused[e.To]; ok {
		g.paused[e.To] = append(queued, e.Message)
		return
	}
	if p, ok := g.planners[e.To]; ok {
		g.send(e.To, p.Handle(g.now, e.Message))
		return
	}
	g.send(e.To, g.ranks[e.To].Handle(g.now, e.Message))
}

func (g *voteSimulation) removeMessage(i int) Envelope {
	e := g.inFlight[i]
	g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
	return e
}

func (g *voteSimulation) tick() {
	g.now = g.now.Add(tickInterval)
	for _, name := range g.names {
		if _, ok := g.paused[name]; !ok {
			g.send(name, g.ranks[name].Tick(g.now))
		}
	}
	for _, name := range []string{"planner0", "planner1"} {
		g.send(name, g.planners[name].Tick(g.now))
	}
}

// beginStep lets a rank begin the group's current step and checks that all ranks in a step use one map.
func (g *voteSimulation) beginStep(t require.TestingT, name string) {
	if _, in := g.used[name]; in || g.paused[name] != nil {
		return
	}
	activation, ok := g.ranks[name].BeginStep(g.step)
	if !ok {
		return
	}
	g.used[name] = activation.Fence
	for other, f := range g.used {
		require.Equal(t, activation.Fence, f, "step %d: %s and %s use two maps", g.step, name, other)
	}
	if len(g.used) == len(g.names) {
		g.step++
		clear(g.used)
	}
}

func (g *voteSimulation) loadNext(name string) {
	if activation, ok := g.ranks[name].NextLoad(); ok {
		g.send(name, g.ranks[name].MarkLoaded(activation.Fence))
	}
}

func (g *voteSimulation) resume(name string) {
	queued := g.paused[name]
	delete(g.paused, name)
	for _, m := range queued {
		g.deliver(Envelope{To: name, Message: m})
	}
}

// runRound runs one tick without faults.
func (g *voteSimulation) runRound(t require.TestingT) {
	g.tick()
	for len(g.inFlight) > 0 {
		g.deliver(g.removeMessage(0))
	}
	for _, name := range g.names {
		g.loadNext(name)
	}
	for _, name := range g.names {
		g.beginStep(t, name)
	}
}

// assertAdvances ends all faults and checks that the group passes the step within recoveryTicks.
func (g *voteSimulation) assertAdvances(t require.TestingT, to uint64) {
	clear(g.partitioned)
	for _, name := range g.names {
		g.resume(name)
	}
	for range recoveryTicks {
		if g.step > to {
			return
		}
		g.runRound(t)
	}
	for _, name := range g.names {
		v := g.ranks[name].View()
		require.Greater(t, g.step, to, "%s: %+v locks %v", name, v, g.ranks[name].joinLocks)
	}
}

func (g *voteSimulation) assertSwitched(t require.TestingT, planner string) {
	for range 20 {
		g.runRound(t)
	}
	require.Equal(t, StateCommitted, g.planners[planner].State)
	for _, name := range g.names {
		require.Equal(t, g.planners[planner].Fence(), g.ranks[name].current.Fence)
	}
}

func (g *voteSimulation) propose(name string, number uint64) {
	g.send(name, g.planners[name].Propose(g.now, number, Map{{{int(number)}}}))
}

// runWithoutStep delivers the messages in flight once and loads the requested weights, but begins no step.
func (g *voteSimulation) runWithoutStep() {
	g.tick()
	for range len(g.inFlight) {
		g.deliver(g.removeMessage(0))
	}
	for _, name := range g.names {
		g.loadNext(name)
	}
}

// deliverTo delivers all messages to one process, oldest first.
func (g *voteSimulation) deliverTo(name string) {
	var rest, mine []Envelope
	for _, e := range g.inFlight {
		if e.To == name {
			mine = append(mine, e)
		} else {
			rest = append(rest, e)
		}
	}
	g.inFlight = rest
	for _, e := range mine {
		g.deliver(e)
	}
}
