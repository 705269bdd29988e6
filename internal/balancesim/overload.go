package balancesim

import (
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// Parameters of the overload simulation.
const (
	overloadServers    = 16
	overloadEntries    = 6
	overloadTeams      = 10
	overloadPrefixes   = 64
	overloadTimeout    = 6 * clock.Second
	overloadQueueLimit = 64           // jobs per agent
	maxResends         = 2            // of one call by its caller, after rejections or time-outs
	resendDelay        = simTime(500) // ms between a failed call and its resend
	retryRatio         = 0.1          // retries that the budget gains per call
	retryBurst         = 20           // maximum number of retries that the budget accumulates
	saturationRate     = 600.0        // requests per second, more than the fleet can serve
	overloadFactor     = 2.0          // offered load as a multiple of capacity
	overloadWarmup     = simTime(30 * clock.Second)
	overloadEnd        = simTime(90 * clock.Second)
	pollInterval       = simTime(250) // ms between polls of the agents by an entry
	unlimitedQueue     = 1 << 30      // jobs per agent
)

// overloadSimulation simulates agents and entries under more load than the backend servers can serve.
type overloadSimulation struct {
	loop             *eventLoop
	random           *rand.Rand
	zipf             *rand.Zipf
	admissionControl bool // agents bound their queues and reject jobs that can't meet their deadlines
	timeout          clock.Span
	agents           []*agent
	entries          []*overloadEntry
	lastAttempt      int
	requests         int    // arrivals after the warm-up
	onTimeTokens     int    // output tokens of calls that completed in time, after the warm-up
	completedTokens  int    // output tokens of all completed requests, after the warm-up
	attempts         int    // attempts by entries, after the warm-up
	retries          int    // attempts after the first of a call, after the warm-up
	rejections       *stats // time from the send of a call to its rejection by an entry, after the warm-up
}

// overloadEntry is an entry of an overloadSimulation.
type overloadEntry struct {
	simulation  *overloadSimulation
	name        string
	retryBudget *balance.RetryBudget
	picker      balance.Picker
	candidates  []balance.Candidate
}

// clientCall is one send of a call by a caller; a resend is a new clientCall.
type clientCall struct {
	team         string
	prefix       uint64
	start        simTime
	deadline     clock.Time
	sendCount    int      // sends of the call, including this one
	triedServers []string // names
	settled      bool     // completed, or given up by the caller
}

func newOverloadSimulation(admissionControl bool, timeout clock.Span) *overloadSimulation {
	random := rand.New(rand.NewPCG(1, overloadServers))
	sim := &overloadSimulation{
		loop:             &eventLoop{},
		random:           random,
		zipf:             rand.NewZipf(random, prefixExponent, 1, overloadPrefixes-1),
		admissionControl: admissionControl,
		timeout:          timeout,
		rejections:       newStats(),
	}
	limit := overloadQueueLimit
	if !admissionControl {
		limit = unlimitedQueue
	}
	for i := range overloadServers {
		s := &server{loop: sim.loop, name: fmt.Sprint("server", i), zone: zoneName(i), slowdown: 1}
		sim.agents = append(sim.agents, newAgent(sim.loop, s, limit))
	}
	for i := range overloadEntries {
		sim.addEntry(i)
	}
	return sim
}

func (sim *overloadSimulation) addEntry(i int) {
	e := &overloadEntry{
		simulation:  sim,
		name:        fmt.Sprint("entry", i),
		retryBudget: balance.NewRetryBudget(retryRatio, retryBurst),
		picker:      balance.Picker{Random: sim.random.Uint64},
	}
	for _, a := range sim.agents {
		e.candidates = append(e.candidates, balance.Candidate{Name: a.server.name, Zone: a.server.zone})
	}
	sim.entries = append(sim.entries, e)
	e.poll()
}

// poll updates the window, grant and load of every agent.
func (e *overloadEntry) poll() {
	now := e.simulation.loop.now.clock()
	for i, a := range e.simulation.agents {
		candidate := &e.candidates[i]
		candidate.Window = a.slowStart.Window(now)
		candidate.Grant = a.grants.Renew(now, e.name, candidate.Window)
		candidate.ReportedTokens = a.server.loadTokens + a.queue.QueuedTokens()
	}
	e.simulation.loop.after(pollInterval, e.poll)
}

// run simulates the arrival of rate requests per second until overloadEnd.
func (sim *overloadSimulation) run(rate float64) *overloadSimulation {
	sim.scheduleArrivals(rate)
	sim.loop.runUntil(overloadEnd)
	return sim
}

func (sim *overloadSimulation) scheduleArrivals(rate float64) {
	sim.loop.after(simTime(sim.random.ExpFloat64()/rate*float64(clock.Second)), func() {
		if sim.warmedUp() {
			sim.requests++
		}
		sim.send(&clientCall{team: fmt.Sprint("team", sim.random.IntN(overloadTeams)), prefix: sim.zipf.Uint64() + 1, sendCount: 1})
		sim.scheduleArrivals(rate)
	})
}

// warmedUp reports whether the warm-up is over; earlier events are not counted.
func (sim *overloadSimulation) warmedUp() bool {
	return sim.loop.now >= overloadWarmup
}

// send sends call to a random entry; the caller gives up at the deadline.
func (sim *overloadSimulation) send(call *clientCall) {
	call.start = sim.loop.now
	call.deadline = call.start.clock().Add(sim.timeout)
	e := sim.entries[sim.random.IntN(len(sim.entries))]
	e.retryBudget.Deposit(call.start.clock(), call.team)
	e.attempt(call)
	sim.loop.after(simTime(sim.timeout), func() { sim.resend(call) })
}

// resend settles a call that was rejected or timed out, and schedules a resend unless the caller has resent it maxResends
// times already.
func (sim *overloadSimulation) resend(call *clientCall) {
	if call.settled {
		return
	}
	call.settled = true
	if call.sendCount > maxResends {
		return
	}
	next := &clientCall{team: call.team, prefix: call.prefix, sendCount: call.sendCount + 1}
	sim.loop.after(resendDelay, func() { sim.send(next) })
}

// attempt sends call to an agent that has not received it yet, or rejects call if the picker finds no such agent.
func (e *overloadEntry) attempt(call *clientCall) {
	sim := e.simulation
	sim.lastAttempt++
	if sim.warmedUp() {
		sim.attempts++
	}
	r := &request{prefix: call.prefix, prefixTokens: 1200, suffixTokens: 50 + sim.random.IntN(200), outputTokens: randomOutput(sim.random)}
	r.onFirstToken = func(bool) {}
	info := balance.PickInfo{Fingerprint: uint64(sim.lastAttempt), PrefixHash: call.prefix, Tokens: r.tokens(), Exclude: call.triedServers}
	i, ok := e.picker.Pick(info, e.candidates)
	if !ok {
		e.rejectCall(call)
		return
	}
	candidate := &e.candidates[i]
	candidate.Outstanding++
	candidate.OwnTokens += uint64(r.tokens())
	call.triedServers = append(call.triedServers, candidate.Name)
	j := job{id: fmt.Sprint(sim.lastAttempt), team: call.team, deadline: call.deadline, request: r}
	if !sim.admissionControl {
		j.deadline = 0
	}
	j.onEnd = func(o outcome) {
		sim.loop.after(crossZoneDelay, func() {
			candidate.Outstanding--
			candidate.OwnTokens -= uint64(r.tokens())
			e.handleEnd(call, r, o)
		})
	}
	sim.loop.after(crossZoneDelay, func() { sim.agents[i].submit(j) })
}

func (e *overloadEntry) handleEnd(call *clientCall, r *request, o outcome) {
	sim := e.simulation
	if o == outcomeRejected {
		e.retry(call)
		return
	}
	if sim.warmedUp() {
		sim.completedTokens += r.outputTokens
	}
	if call.settled {
		return
	}
	call.settled = true
	if sim.warmedUp() {
		sim.onTimeTokens += r.outputTokens
	}
}

// retry sends a rejected call to another agent if the retry budget allows, otherwise rejects it.
func (e *overloadEntry) retry(call *clientCall) {
	if call.settled {
		return
	}
	if !e.retryBudget.TryWithdraw(e.simulation.loop.now.clock(), call.team) {
		e.rejectCall(call)
		return
	}
	if e.simulation.warmedUp() {
		e.simulation.retries++
	}
	e.attempt(call)
}

// rejectCall records a rejection by the entry and lets the caller resend.
func (e *overloadEntry) rejectCall(call *clientCall) {
	sim := e.simulation
	if sim.warmedUp() {
		sim.rejections.record(sim.loop.now-call.start, false)
	}
	sim.resend(call)
}

// perSecond converts a count from the end of the warm-up to overloadEnd into a rate per second.
func perSecond(count int) float64 {
	return float64(count) / float64((overloadEnd-overloadWarmup)/1000)
}

func overloadRows() []measure.Row {
	capacity := perSecond(newOverloadSimulation(false, clock.Hour).run(saturationRate).completedTokens)
	offered := overloadFactor * capacity / meanOutput
	sim := newOverloadSimulation(true, overloadTimeout).run(offered)
	uncontrolled := newOverloadSimulation(false, overloadTimeout).run(offered)
	goodput := perSecond(sim.onTimeTokens) / capacity
	retries := float64(sim.retries) / float64(max(sim.attempts-sim.retries, 1))
	rejection := sim.rejections.percentile(99)
	return []measure.Row{
		measure.NoTarget("overload.capacity", capacity, "tokens/s"),
		measure.NoTarget("overload.offered", offered, "requests/s"),
		measure.AtLeast("overload.goodput", goodput, "of capacity", 0.90),
		measure.NoTarget("overload.plain.goodput", perSecond(uncontrolled.onTimeTokens)/capacity, "of capacity"),
		measure.AtMost("overload.refusal.p99", rejection, "ms", 6000),
		measure.AtMost("overload.retries", retries, "of first attempts", 0.11),
	}
}
