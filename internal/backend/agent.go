package backend

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/internal/balance"
	"carawaypick/internal/binding"
	"carawaypick/internal/config"
	"carawaypick/internal/gossip"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	grantLifetime    = 3 * clock.Second        // time from the last renewal after which an entry's grant expires
	reportInterval   = 200 * clock.Millisecond // time between two requests for the backend server's load report
	maxIdleReportAge = 50 * clock.Millisecond  // maximum age of the report on which an idle backend server gets work if Protocol.Epoch is nil
	ringSize         = 4096                    // number of decisions kept for explain
	maxBindings      = 20_000                  // maximum number of request ids in the binding table
	maxBindingBytes  = 8 << 20                 // maximum total size of the answers in the binding table
	defaultColdLimit = 1                       // concurrent requests of a cold backend server if its service configures no limit
	defaultWarmLimit = 8                       // concurrent requests of a warm backend server if its service configures no limit
)

// States of an agent in its reports.
const (
	StateStarting = "starting" // no load report or no configuration received yet
	StateLive     = "live"
	StateDown     = "down"    // the backend server doesn't answer
	StateLeaving  = "leaving" // this process shuts down
	StateOut      = "out"     // operators have taken the backend server or its zone out of service
)

// Agent admits, queues and runs the requests of one backend server; no other process connects to that server.
type Agent struct {
	peerpb.UnimplementedAgentServer

	settings    config.Settings
	clock       clock.Clock
	telemetry   *telemetry.Telemetry
	member      *gossip.Member
	protocol    Protocol
	table       *binding.Table
	incarnation uint64
	workers     *pool.Pool
	ring        *operator.DecisionRing

	mu            sync.Mutex
	queue         *balance.FairQueue[*work]
	slowStart     *balance.SlowStart
	grants        *balance.Grants
	suspects      *balance.SuspectTracker
	throughput    throughputMeter      // tokens per second while the window is full
	serviceMeter  balance.ServiceMeter // duration of requests
	running       map[*work]struct{}
	suspectQueue  []*work    // suspects waiting to run without other requests
	isolated      bool       // a suspect is running, nothing else may start
	suspended     bool       // nothing is dispatched until a load report of the backend server's current process arrives
	suspensions   uint64     // number of calls to suspend
	suspendedAt   clock.Time // time of the last call to suspend
	verifiedEpoch uint64     // epoch of the last report that verifyReport accepted
	missedReports int        // consecutive failed reports
	probing       bool       // a background probe is in progress
	reported      bool       // at least one report was received
	down          bool       // the backend server doesn't answer
	wasOut        bool       // result of isOut at the last configuration refresh
	leaving       bool       // this process shuts down
	load          LoadReport
	loadedAt      clock.Time // time at which load was received
	warmLimit     uint32
	coldLimit     uint32
	ticketNumber  uint64 // ticket number of the applied configuration
}

// New returns the agent for the backend server in the settings, or an error for an unknown protocol or invalid URL.
func New(s config.Settings, c clock.Clock, t *telemetry.Telemetry, m *gossip.Member) (agent *Agent, err error) {
	construct, err := Protocols.Lookup(s.Backend.Kind)
	if err != nil {
		return nil, err
	}
	protocol, err := construct(s.Backend.URL)
	if err != nil {
		return nil, err
	}
	incarnation := rand.Uint64() | 1
	limits := binding.Limits{MaxLifetime: s.Timing.BindingLifetime, Retention: s.Timing.OutcomeRetention, MaxRequests: maxBindings, MaxResponseBytes: maxBindingBytes}
	agent = &Agent{
		settings:    s,
		clock:       c,
		telemetry:   t,
		member:      m,
		protocol:    protocol,
		table:       binding.NewTable(incarnation, limits),
		incarnation: incarnation,
		workers:     pool.New().WithMaxGoroutines(s.Limits.MaxCalls),
		ring:        operator.NewDecisionRing(ringSize),
		queue:       balance.NewFairQueue[*work](s.Limits.MaxQueued),
		slowStart:   balance.NewSlowStart(defaultColdLimit, defaultWarmLimit),
		grants:      balance.NewGrants(grantLifetime),
		suspects:    balance.NewSuspectTracker(s.Timing.Quarantine),
		running:     make(map[*work]struct{}),
		warmLimit:   defaultWarmLimit,
		coldLimit:   defaultColdLimit,
	}
	agent.queue.RunningTokens = agent.runningTeamTokens
	agent.queue.ServiceTime = agent.serviceMeter.ServiceTime
	return agent, nil
}

// currentState returns the agent's state; mu is held.
func (a *Agent) currentState() string {
	switch {
	case a.leaving:
		return StateLeaving
	case a.isOut():
		return StateOut
	case !a.reported || !a.member.Ready():
		return StateStarting
	case a.down:
		return StateDown
	}
	return StateLive
}

// isOut reports whether operators have taken the backend server or its availability zone out of service.
func (a *Agent) isOut() bool {
	objects := a.member.State().Objects
	if z := objects.Zones[a.settings.Zone]; z != nil && z.State == "out" {
		return true
	}
	b := objects.Backends[a.settings.Name]
	return b != nil && b.State == "out"
}

// refreshConfig applies team shares and concurrency limits of a newer configuration, and restarts the slow start of a
// backend server that is back in service; mu is held.
func (a *Agent) refreshConfig() {
	state := a.member.State()
	if uint64(state.Number) == a.ticketNumber {
		return
	}
	a.ticketNumber = uint64(state.Number)
	shares := make([]balance.TeamShare, 0, len(state.Objects.Teams))
	for name, team := range state.Objects.Teams {
		shares = append(shares, balance.TeamShare{Team: name, Weight: team.Share, TokenLimit: team.TokenLimit})
	}
	a.queue.SetShares(shares)
	a.refreshLimits()
	out := a.isOut()
	if a.wasOut && !out {
		a.slowStart.Restart(a.clock.Now())
	}
	a.wasOut = out
}

// OnUpdate applies the crash reports, run reports and configuration that the member has received, and dispatches queued
// work.
func (a *Agent) OnUpdate() {
	reports := a.member.Evidence()
	a.mu.Lock()
	peer.ApplyEvidence(a.clock.Now(), a.suspects, reports)
	a.mu.Unlock()
	a.dispatchQueued()
}

// refreshLimits applies the service's warm and cold concurrency limits; mu is held.
func (a *Agent) refreshLimits() {
	service := a.member.State().Objects.Services[a.settings.Backend.Service]
	if service == nil {
		return
	}
	warm, cold := service.MaxConcurrency, service.MaxColdConcurrency
	if warm == 0 {
		warm = defaultWarmLimit
	}
	if cold == 0 {
		cold = defaultColdLimit
	}
	cold = min(cold, warm)
	if warm == a.warmLimit && cold == a.coldLimit {
		return
	}
	a.warmLimit, a.coldLimit = warm, cold
	a.slowStart.SetBounds(cold, warm)
}

// Start runs the probe loop until ctx ends, and sends the loop's error on the channel.
func (a *Agent) Start(ctx context.Context) <-chan error {
	return a.probeLoop(ctx)
}

// Leave rejects queued and new work; running work is finished and stored answers are still replayed.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	rejected := a.drainQueue(StateLeaving)
	a.mu.Unlock()
	a.rejectAll(rejected)
	level.Info(a.telemetry.Logger).Log("msg", "leaving", "refused", len(rejected))
}

// Idle reports whether no work is running or queued.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running) == 0 && a.queue.Len() == 0 && len(a.suspectQueue) == 0
}

// Wait blocks until all workers have finished.
func (a *Agent) Wait() {
	a.workers.Wait()
}
