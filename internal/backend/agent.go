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
	"carawaypick/internal/member"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	grantKeep    = 3 * clock.Second        // how long an entry's part of the window stays its own
	probePeriod  = 200 * clock.Millisecond // between two reports of the backend server
	probeFresh   = 50 * clock.Millisecond  // age up to which a report needs no repeat before an idle backend server gets work
	ringSize     = 4096                    // decisions kept for explain
	heldRequests = 20_000                  // most identifiers in the binding table
	heldBytes    = 8 << 20                 // most bytes of held answers
	defaultCold  = 1                       // requests that a cold backend server bears where no ticket says
	defaultWarm  = 8                       // requests that a warm backend server bears where no ticket says
)

// States of an agent as its reports say.
const (
	StateStarting = "starting" // no report of the backend server yet, or no configuration
	StateLive     = "live"
	StateDown     = "down"    // the backend server doesn't answer
	StateLeaving  = "leaving" // this process shuts down
	StateOut      = "out"     // operators have taken the backend server or its zone out
)

// Agent is the only process that talks to its backend server.
type Agent struct {
	peerpb.UnimplementedAgentServer

	settings    config.Settings
	clock       clock.Clock
	telemetry   *telemetry.Telemetry
	member      *member.Member
	dialect     Dialect
	table       *binding.Table
	incarnation uint64
	workers     *pool.Pool
	ring        *operator.Ring

	mu       sync.Mutex
	queue    *balance.Queue[*work]
	ramp     *balance.Ramp
	grants   *balance.Grants
	suspects *balance.Suspects
	pace     pace          // tokens a second while the window is full
	meter    balance.Meter // time that a request takes
	running  map[*work]struct{}
	aside    []*work    // suspects that wait to run alone
	alone    bool       // a suspect runs alone
	doubt    bool       // an answer broke off and the backend server was not asked since
	doubts   uint64     // answers that broke off
	doubted  clock.Time // when the last one did
	sure     uint64     // epoch of the last report that was free of doubt
	misses   int        // reports in a row that did not come
	probing  bool       // a report is on its way
	seen     bool       // a report has ever come
	down     bool       // the backend server doesn't answer
	gone     bool       // operators had the backend server or its zone out when last looked
	leaving  bool       // this process shuts down
	load     Load
	loaded   clock.Time // when load came
	bears    uint32
	cold     uint32
	state    uint64 // ticket number of which shares and bearing were taken
}

// New returns the agent for the settings' backend server.
func New(s config.Settings, c clock.Clock, t *telemetry.Telemetry, m *member.Member) (agent *Agent, err error) {
	construct, err := Dialects.Lookup(s.Backend.Kind)
	if err != nil {
		return nil, err
	}
	dialect, err := construct(s.Backend.URL)
	if err != nil {
		return nil, err
	}
	incarnation := rand.Uint64() | 1
	limits := binding.Limits{Life: s.Timing.Life, Keep: s.Timing.Keep, Held: heldRequests, Bytes: heldBytes}
	agent = &Agent{
		settings:    s,
		clock:       c,
		telemetry:   t,
		member:      m,
		dialect:     dialect,
		table:       binding.NewTable(incarnation, limits),
		incarnation: incarnation,
		workers:     pool.New().WithMaxGoroutines(s.Limits.Calls),
		ring:        operator.NewRing(ringSize),
		queue:       balance.NewQueue[*work](s.Limits.Queue),
		ramp:        balance.NewRamp(defaultCold, defaultWarm),
		grants:      balance.NewGrants(grantKeep),
		suspects:    balance.NewSuspects(s.Timing.Condemn),
		running:     make(map[*work]struct{}),
		bears:       defaultWarm,
		cold:        defaultCold,
	}
	agent.queue.Running = agent.teamTokens
	agent.queue.Took = agent.meter.Took
	return agent, nil
}

// standing returns the agent's state; mu is held.
func (a *Agent) standing() string {
	switch {
	case a.leaving:
		return StateLeaving
	case a.out():
		return StateOut
	case !a.seen || !a.member.Ready():
		return StateStarting
	case a.down:
		return StateDown
	}
	return StateLive
}

// out tells whether operators have taken the backend server or its availability zone out.
func (a *Agent) out() bool {
	objects := a.member.State().Objects
	if z := objects.Zones[a.settings.Zone]; z != nil && z.State == "out" {
		return true
	}
	b := objects.Backends[a.settings.Name]
	return b != nil && b.State == "out"
}

// refresh takes shares and bearing from a newer configuration; mu is held.
func (a *Agent) refresh() {
	state := a.member.State()
	if uint64(state.Number) == a.state {
		return
	}
	a.state = uint64(state.Number)
	shares := make([]balance.Share, 0, len(state.Objects.Teams))
	for name, team := range state.Objects.Teams {
		shares = append(shares, balance.Share{Team: name, Weight: team.Share, Limit: team.Limit})
	}
	a.queue.SetShares(shares)
	a.resize()
	out := a.out()
	if a.gone && !out {
		a.ramp.Restart(a.clock.Now())
	}
	a.gone = out
}

// Hear takes in news of tickets, instances and crashes.
func (a *Agent) Hear() {
	evidence := a.member.Evidence()
	a.mu.Lock()
	peer.Weigh(a.clock.Now(), a.suspects, evidence)
	a.mu.Unlock()
	a.pump()
}

// resize takes the bearing of the backend server from the service's ticket; mu is held.
func (a *Agent) resize() {
	service := a.member.State().Objects.Services[a.settings.Backend.Service]
	if service == nil {
		return
	}
	warm, cold := service.Bears, service.Cold
	if warm == 0 {
		warm = defaultWarm
	}
	if cold == 0 {
		cold = defaultCold
	}
	cold = min(cold, warm)
	if warm == a.bears && cold == a.cold {
		return
	}
	a.bears, a.cold = warm, cold
	a.ramp.Limit(cold, warm)
}

// Start runs the agent's loops until ctx ends and reports their end.
func (a *Agent) Start(ctx context.Context) <-chan error {
	return a.watch(ctx)
}

// Leave stops new work; what runs is finished and held answers are still given.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	refused := a.turnAway(StateLeaving)
	a.mu.Unlock()
	a.settle(refused)
	level.Info(a.telemetry.Logger).Log("msg", "leaving", "refused", len(refused))
}

// Idle tells whether nothing runs or waits.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running) == 0 && a.queue.Len() == 0 && len(a.aside) == 0
}

// Wait blocks until all workers have ended.
func (a *Agent) Wait() {
	a.workers.Wait()
}
