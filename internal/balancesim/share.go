package balancesim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// Parameters of the simulation of team shares at one agent.
const (
	teamCount       = 10
	steadyTeamLoad  = 0.08 // load of each steady team as a fraction of capacity
	floodLoad       = 4.0  // load of the flooding team as a multiple of capacity
	shareTimeout    = 5 * clock.Second
	shareQueueLimit = 64 // jobs
	shareWarmup     = simTime(40 * clock.Second)
	shareCountEnd   = simTime(90 * clock.Second) // later requests aren't counted, so that all counted ones can complete by shareEnd
	shareEnd        = simTime(100 * clock.Second)
	floodTeam       = "team0"
)

// agentSimulation simulates one agent with its backend server under load from several teams.
type agentSimulation struct {
	loop            *eventLoop
	random          *rand.Rand
	agent           *agent
	timeout         clock.Span // of each request
	ignoreTeams     bool       // all requests are queued as one team's
	lastRequest     int
	offered         map[string]int // requests by team
	completed       map[string]int // requests that completed in time, by team
	completedTokens map[string]int // output tokens of the requests that completed in time, by team
	completedCost   map[string]int // cost in tokens of the requests that completed in time, by team; the queue divides capacity by cost
}

func newAgentSimulation(seed uint64, timeout clock.Span) *agentSimulation {
	sim := &agentSimulation{
		loop:            &eventLoop{},
		timeout:         timeout,
		random:          rand.New(rand.NewPCG(seed, teamCount)),
		offered:         make(map[string]int),
		completed:       make(map[string]int),
		completedTokens: make(map[string]int),
		completedCost:   make(map[string]int),
	}
	s := &server{loop: sim.loop, name: "server", slowdown: 1}
	sim.agent = newAgent(sim.loop, s, shareQueueLimit)
	return sim
}

// scheduleArrivals sends rate requests of team per second until shareEnd.
func (sim *agentSimulation) scheduleArrivals(team string, rate float64) {
	sim.loop.after(simTime(sim.random.ExpFloat64()/rate*float64(clock.Second)), func() {
		if sim.loop.now > shareEnd {
			return
		}
		sim.send(team)
		sim.scheduleArrivals(team, rate)
	})
}

func (sim *agentSimulation) send(team string) {
	sim.lastRequest++
	r := &request{prefix: 1, prefixTokens: 400, suffixTokens: 50 + sim.random.IntN(100), outputTokens: randomOutput(sim.random)}
	deadline := sim.loop.now.clock().Add(sim.timeout)
	counted := sim.loop.now >= shareWarmup && sim.loop.now < shareCountEnd
	if counted {
		sim.offered[team]++
	}
	r.onFirstToken = func(bool) {}
	end := func(o outcome) {
		if o == outcomeCompleted && counted && sim.loop.now.clock() <= deadline {
			sim.completed[team]++
			sim.completedTokens[team] += r.outputTokens
			sim.completedCost[team] += int(r.tokens())
		}
	}
	queueTeam := team
	if sim.ignoreTeams {
		queueTeam = ""
	}
	sim.agent.submit(job{id: fmt.Sprint(sim.lastRequest), team: queueTeam, deadline: deadline, request: r, onEnd: end})
}

// steadyTeamsCompleted returns the share of the requests of all teams but the flooding one that completed in time.
func (sim *agentSimulation) steadyTeamsCompleted() float64 {
	offered, completed := 0, 0
	for team, n := range sim.offered {
		if team == floodTeam {
			continue
		}
		offered += n
		completed += sim.completed[team]
	}
	return float64(completed) / float64(max(offered, 1))
}

// measureCapacity returns the tokens per second that a backend server generates for a single team.
func measureCapacity() float64 {
	sim := newAgentSimulation(1, clock.Hour)
	sim.scheduleArrivals(floodTeam, 40)
	sim.loop.runUntil(shareEnd)
	return float64(sim.completedTokens[floodTeam]) / float64((shareCountEnd-shareWarmup)/1000)
}

// runFlood simulates the steady teams beside a flooding team that offers load times the capacity.
func runFlood(capacity, load float64, ignoreTeams bool) *agentSimulation {
	sim := newAgentSimulation(2, shareTimeout)
	sim.ignoreTeams = ignoreTeams
	for i := 1; i < teamCount; i++ {
		sim.scheduleArrivals(fmt.Sprint("team", i), steadyTeamLoad*capacity/meanOutput)
	}
	if load > 0 {
		sim.scheduleArrivals(floodTeam, load*capacity/meanOutput)
	}
	sim.loop.runUntil(shareEnd)
	return sim
}

// weightedCostRatio returns the completed cost of a team of weight 3 over that of a team of weight 1, both flooding.
func weightedCostRatio(capacity float64) float64 {
	sim := newAgentSimulation(3, shareTimeout)
	sim.agent.queue.SetShares([]balance.TeamShare{{Team: "three", Weight: 3}, {Team: "one", Weight: 1}})
	sim.scheduleArrivals("three", 2*capacity/meanOutput)
	sim.scheduleArrivals("one", 2*capacity/meanOutput)
	sim.loop.runUntil(shareEnd)
	return float64(sim.completedCost["three"]) / float64(sim.completedCost["one"])
}

func shareRows() []measure.Row {
	capacity := measureCapacity()
	withoutFlood := runFlood(capacity, 0, false).steadyTeamsCompleted()
	sim := runFlood(capacity, floodLoad, false)
	ignoringTeams := runFlood(capacity, floodLoad, true).steadyTeamsCompleted()
	total := 0
	for _, n := range sim.completedTokens {
		total += n
	}
	used := float64(total) / float64((shareCountEnd-shareWarmup)/1000) / capacity
	ratio := weightedCostRatio(capacity)
	return []measure.Row{
		measure.NoTarget("share.capacity", capacity, "tokens/s"),
		measure.NoTarget("share.calm.quiet", withoutFlood, "share in time"),
		measure.AtLeast("share.flood.quiet", sim.steadyTeamsCompleted(), "share in time", 0.99),
		measure.NoTarget("share.flood.blind.quiet", ignoringTeams, "share in time"),
		measure.AtLeast("share.flood.used", used, "of capacity", 0.90),
		measure.AtMost("share.weights.miss", math.Abs(ratio/3-1), "of 3 to 1", 0.1),
	}
}
