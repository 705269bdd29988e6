package choice

import (
	"fmt"
	"math"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// Extent of the measurement of shares at one agent.
const (
	shareTeams    = 10
	sharePart     = 0.08             // of capacity that each quiet team offers
	shareFlood    = 4.0              // multiple of capacity that the flooding team offers
	shareDeadline = 5 * clock.Second // of each request
	shareQueue    = 64               // jobs
	shareWarm     = moment(40 * clock.Second)
	shareStop     = moment(90 * clock.Second) // of counting, so that what counts can end
	shareEnd      = moment(100 * clock.Second)
	floodTeam     = "team0"
)

// bench is one agent with its backend server, under load from teams.
type bench struct {
	loop    *loop
	random  *rand.Rand
	agent   *agent
	span    clock.Span // of each deadline
	blind   bool       // the queue does not tell teams apart
	serial  int
	offered map[string]int
	whole   map[string]int
	tokens  map[string]int // made for requests that ended in time
	cost    map[string]int // expected tokens of these requests, which queues weigh
}

func newBench(seed uint64, span clock.Span) *bench {
	b := &bench{
		loop:    &loop{},
		span:    span,
		random:  rand.New(rand.NewPCG(seed, shareTeams)),
		offered: make(map[string]int),
		whole:   make(map[string]int),
		tokens:  make(map[string]int),
		cost:    make(map[string]int),
	}
	s := &server{loop: b.loop, name: "server", slow: 1}
	b.agent = newAgent(b.loop, s, shareQueue)
	return b
}

// offer sends requests of team at rate a second until the end.
func (b *bench) offer(team string, rate float64) {
	b.loop.after(moment(b.random.ExpFloat64()/rate*float64(clock.Second)), func() {
		if b.loop.now > shareEnd {
			return
		}
		b.send(team)
		b.offer(team, rate)
	})
}

func (b *bench) send(team string) {
	b.serial++
	t := &task{prefix: 1, prefixTokens: 400, suffixTokens: 50 + b.random.IntN(100), output: drawOutput(b.random)}
	deadline := b.loop.now.clock().Add(b.span)
	counted := b.loop.now >= shareWarm && b.loop.now < shareStop
	if counted {
		b.offered[team]++
	}
	t.first = func(bool) {}
	end := func(o outcome) {
		if o == ended && counted && b.loop.now.clock() <= deadline {
			b.whole[team]++
			b.tokens[team] += t.output
			b.cost[team] += int(t.tokens())
		}
	}
	known := team
	if b.blind {
		known = ""
	}
	b.agent.take(work{id: fmt.Sprint(b.serial), team: known, deadline: deadline, task: t, end: end})
}

// quiet returns the share of the requests of all teams but the flooding one that ended whole in time.
func (b *bench) quiet() float64 {
	offered, whole := 0, 0
	for team, n := range b.offered {
		if team == floodTeam {
			continue
		}
		offered += n
		whole += b.whole[team]
	}
	return float64(whole) / float64(max(offered, 1))
}

// lone returns the tokens a second that are made where one team has the backend server for itself.
func lone() float64 {
	b := newBench(1, clock.Hour)
	b.offer(floodTeam, 40)
	b.loop.until(shareEnd)
	return float64(b.tokens[floodTeam]) / float64((shareStop-shareWarm)/1000)
}

// flooded runs the quiet teams beside a flood of so many times the capacity.
func flooded(capacity, flood float64, blind bool) *bench {
	b := newBench(2, shareDeadline)
	b.blind = blind
	for i := 1; i < shareTeams; i++ {
		b.offer(fmt.Sprint("team", i), sharePart*capacity/meanOutput)
	}
	if flood > 0 {
		b.offer(floodTeam, flood*capacity/meanOutput)
	}
	b.loop.until(shareEnd)
	return b
}

// weighed returns the expected tokens served of a team of weight 3 over those of a team of weight 1, both flooding.
func weighed(capacity float64) float64 {
	b := newBench(3, shareDeadline)
	b.agent.queue.SetShares([]balance.Share{{Team: "three", Weight: 3}, {Team: "one", Weight: 1}})
	b.offer("three", 2*capacity/meanOutput)
	b.offer("one", 2*capacity/meanOutput)
	b.loop.until(shareEnd)
	return float64(b.cost["three"]) / float64(b.cost["one"])
}

func shareRows() []measure.Row {
	capacity := lone()
	calm := flooded(capacity, 0, false).quiet()
	b := flooded(capacity, shareFlood, false)
	blind := flooded(capacity, shareFlood, true).quiet()
	total := 0
	for _, n := range b.tokens {
		total += n
	}
	used := float64(total) / float64((shareStop-shareWarm)/1000) / capacity
	ratio := weighed(capacity)
	return []measure.Row{
		measure.NoTarget("share.capacity", capacity, "tokens/s"),
		measure.NoTarget("share.calm.quiet", calm, "share in time"),
		measure.AtLeast("share.flood.quiet", b.quiet(), "share in time", 0.99),
		measure.NoTarget("share.flood.blind.quiet", blind, "share in time"),
		measure.AtLeast("share.flood.used", used, "of capacity", 0.90),
		measure.AtMost("share.weights.miss", math.Abs(ratio/3-1), "of 3 to 1", 0.1),
	}
}
