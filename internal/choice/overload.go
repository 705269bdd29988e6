package choice

import (
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// Extent of the measurement of overload.
const (
	crowdServers  = 16
	crowdEntries  = 6
	crowdTeams    = 10
	crowdPrefixes = 64
	crowdDeadline = 6 * clock.Second
	crowdQueue    = 64          // jobs an agent
	crowdResends  = 2           // of a caller, after a refusal or its deadline
	crowdPause    = moment(500) // ms before a caller sends again
	crowdRatio    = 0.1         // of the requests that entries may send again
	crowdBurst    = 20          // retries saved up
	crowdProbe    = 600.0       // requests a second, above any capacity
	crowdFactor   = 2.0         // of capacity that is offered
	crowdWarm     = moment(30 * clock.Second)
	crowdEnd      = moment(90 * clock.Second)
	pollEvery     = moment(250) // ms between two questions of an entry to an agent
	unlimited     = 1 << 30
)

// crowd is a fleet of agents and entries under more load than it bears.
type crowd struct {
	loop      *loop
	random    *rand.Rand
	zipf      *rand.Zipf
	defended  bool
	deadline  clock.Span
	agents    []*agent
	entries   []*gate
	serial    int
	requests  int // arrived after the warm time
	whole     int // tokens made for sends that ended in time, after the warm time
	completed int // tokens made at all, after the warm time
	attempts  int // by entries after the warm time
	retries   int // of these, not the first of a send
	refusals  *figures
}

// gate is an entry of a crowd.
type gate struct {
	crowd      *crowd
	name       string
	budget     *balance.Budget
	chooser    balance.Chooser
	candidates []balance.Candidate
}

// send is one send of a request by its caller.
type send struct {
	team     string
	prefix   uint64
	start    moment
	deadline clock.Time
	sends    int
	tried    []string
	settled  bool
}

func newCrowd(defended bool, deadline clock.Span) *crowd {
	random := rand.New(rand.NewPCG(1, crowdServers))
	c := &crowd{
		loop:     &loop{},
		random:   random,
		zipf:     rand.NewZipf(random, prefixSkew, 1, crowdPrefixes-1),
		defended: defended,
		deadline: deadline,
		refusals: newFigures(),
	}
	limit := crowdQueue
	if !defended {
		limit = unlimited
	}
	for i := range crowdServers {
		s := &server{loop: c.loop, name: fmt.Sprint("server", i), zone: zoneName(i), slow: 1}
		c.agents = append(c.agents, newAgent(c.loop, s, limit))
	}
	for i := range crowdEntries {
		c.addEntry(i)
	}
	return c
}

func (c *crowd) addEntry(i int) {
	g := &gate{
		crowd:   c,
		name:    fmt.Sprint("entry", i),
		budget:  balance.NewBudget(crowdRatio, crowdBurst),
		chooser: balance.Chooser{Random: c.random.Uint64},
	}
	for _, a := range c.agents {
		g.candidates = append(g.candidates, balance.Candidate{Name: a.server.name, Zone: a.server.zone})
	}
	c.entries = append(c.entries, g)
	g.poll()
}

// poll takes grants and loads from all agents.
func (g *gate) poll() {
	now := g.crowd.loop.now.clock()
	for i, a := range g.crowd.agents {
		d := &g.candidates[i]
		d.Window = a.ramp.Window(now)
		d.Grant = a.grants.Ask(now, g.name, d.Window)
		d.Load = a.server.load + a.queue.Tokens()
	}
	g.crowd.loop.after(pollEvery, g.poll)
}

// run offers rate requests a second.
func (c *crowd) run(rate float64) *crowd {
	c.arrive(rate)
	c.loop.until(crowdEnd)
	return c
}

func (c *crowd) arrive(rate float64) {
	c.loop.after(moment(c.random.ExpFloat64()/rate*float64(clock.Second)), func() {
		if c.counts() {
			c.requests++
		}
		c.call(&send{team: fmt.Sprint("team", c.random.IntN(crowdTeams)), prefix: c.zipf.Uint64() + 1, sends: 1})
		c.arrive(rate)
	})
}

func (c *crowd) counts() bool {
	return c.loop.now >= crowdWarm
}

// call is one send by the caller to any entry; the caller gives up at the deadline.
func (c *crowd) call(s *send) {
	s.start = c.loop.now
	s.deadline = s.start.clock().Add(c.deadline)
	g := c.entries[c.random.IntN(len(c.entries))]
	g.budget.Earn(s.start.clock(), s.team)
	g.attempt(s)
	c.loop.after(moment(c.deadline), func() { c.again(s) })
}

// again lets the caller send once more where the last send gave nothing.
func (c *crowd) again(s *send) {
	if s.settled {
		return
	}
	s.settled = true
	if s.sends > crowdResends {
		return
	}
	next := &send{team: s.team, prefix: s.prefix, sends: s.sends + 1}
	c.loop.after(crowdPause, func() { c.call(next) })
}

// attempt sends s to an agent.
func (g *gate) attempt(s *send) {
	c := g.crowd
	c.serial++
	if c.counts() {
		c.attempts++
	}
	t := &task{prefix: s.prefix, prefixTokens: 1200, suffixTokens: 50 + c.random.IntN(200), output: drawOutput(c.random)}
	t.first = func(bool) {}
	call := balance.Call{Fingerprint: uint64(c.serial), Prefix: s.prefix, Tokens: t.tokens(), Exclude: s.tried}
	i, ok := g.chooser.Pick(call, g.candidates)
	if !ok {
		g.refused(s)
		return
	}
	d := &g.candidates[i]
	d.Outstanding++
	d.Tokens += uint64(t.tokens())
	s.tried = append(s.tried, d.Name)
	w := work{id: fmt.Sprint(c.serial), team: s.team, deadline: s.deadline, task: t}
	if !c.defended {
		w.deadline = 0
	}
	w.end = func(o outcome) {
		c.loop.after(farDelay, func() {
			d.Outstanding--
			d.Tokens -= uint64(t.tokens())
			g.ended(s, t, o)
		})
	}
	c.loop.after(farDelay, func() { c.agents[i].take(w) })
}

func (g *gate) ended(s *send, t *task, o outcome) {
	c := g.crowd
	if o == refused {
		g.retry(s)
		return
	}
	if c.counts() {
		c.completed += t.output
	}
	if s.settled {
		return
	}
	s.settled = true
	if c.counts() {
		c.whole += t.output
	}
}

// retry sends a refused request to another agent within the budget.
func (g *gate) retry(s *send) {
	if s.settled {
		return
	}
	if !g.budget.Spend(g.crowd.loop.now.clock(), s.team) {
		g.refused(s)
		return
	}
	if g.crowd.counts() {
		g.crowd.retries++
	}
	g.attempt(s)
}

// refused tells the caller that nothing ran.
func (g *gate) refused(s *send) {
	c := g.crowd
	if c.counts() {
		c.refusals.first(c.loop.now-s.start, false)
	}
	c.again(s)
}

// perSecond turns a count after the warm time into a rate.
func perSecond(count int) float64 {
	return float64(count) / float64((crowdEnd-crowdWarm)/1000)
}

func overloadRows() []measure.Row {
	capacity := perSecond(newCrowd(false, clock.Hour).run(crowdProbe).completed)
	offered := crowdFactor * capacity / meanOutput
	c := newCrowd(true, crowdDeadline).run(offered)
	plain := newCrowd(false, crowdDeadline).run(offered)
	goodput := perSecond(c.whole) / capacity
	retries := float64(c.retries) / float64(max(c.attempts-c.retries, 1))
	refusal := c.refusals.quantile(99)
	return []measure.Row{
		measure.NoTarget("overload.capacity", capacity, "tokens/s"),
		measure.NoTarget("overload.offered", offered, "requests/s"),
		measure.AtLeast("overload.goodput", goodput, "of capacity", 0.90),
		measure.NoTarget("overload.plain.goodput", perSecond(plain.whole)/capacity, "of capacity"),
		measure.AtMost("overload.refusal.p99", refusal, "ms", 6000),
		measure.AtMost("overload.retries", retries, "of first attempts", 0.11),
	}
}
