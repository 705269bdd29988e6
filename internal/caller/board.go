package caller

import (
	"cmp"
	"slices"
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	lostKeep      = 500 * clock.Millisecond // how long an agent that could not be reached is passed over
	pauseGap      = clock.Second            // between two looks at due reports after which this process was paused
	unheardSpan   = 2 * clock.Second        // time that a newly listed agent has for its first report
	staleAfter    = 5                       // periods without a report after which an agent counts as lost
	reportFree    = 20                      // agents that are asked every period whatever their number
	reportCost    = 200 * clock.Millisecond // of the period for each agent more: at most 5 reports a second for these
	denialKeep    = 2 * clock.Second        // after which an agent that said it takes nothing is tried again
	lostDoublings = 5                       // of the time that an agent is passed over, where it fails again and again
)

// Target is one agent as an attempt uses it.
type Target struct {
	Name    string
	Zone    string
	Address string
}

// view is what the entry knows of one agent.
type view struct {
	target      Target
	service     string
	listed      bool // live by the instance list
	report      *peerpb.Report
	added       clock.Time // when the agent was first listed
	at          clock.Time // when the report came
	asked       clock.Time // when a report was last asked for
	lost        clock.Time // until when the agent is passed over
	losses      int        // attempts in a row that could not reach the agent
	outstanding uint32
	tokens      uint64
}

// Board holds what the entry knows of its agents; it is safe for many goroutines.
type Board struct {
	mu     sync.Mutex
	clock  clock.Clock
	poll   clock.Span
	agents map[string]*view
	order  map[string][]*view // by service, in the order of names
	known  bool               // an instance list has come
	looked clock.Time         // when due reports were last looked for
	woke   clock.Time         // when this process last went on after a pause
}

// NewBoard returns an empty board for reports that come every poll milliseconds.
func NewBoard(c clock.Clock, poll clock.Span) *Board {
	return &Board{clock: c, poll: poll, agents: make(map[string]*view)}
}

// Update takes the agents that this entry serves from the instance list.
func (b *Board) Update(agents []platform.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = true
	seen := make(map[string]struct{}, len(agents))
	for _, i := range agents {
		seen[i.Name] = struct{}{}
		v := b.agents[i.Name]
		if v == nil || v.target.Address != i.Peer {
			v = &view{added: b.clock.Now()}
			b.agents[i.Name] = v
		}
		v.target = Target{Name: i.Name, Zone: i.Zone, Address: i.Peer}
		v.service = i.Service
		v.listed = i.State != platform.Leaving
	}
	for name, v := range b.agents {
		if _, ok := seen[name]; !ok && v.outstanding == 0 {
			delete(b.agents, name)
		} else if !ok {
			v.listed = false
		}
	}
	b.sort()
}

// sort brings the agents of each service into the order of their names; mu is held.
func (b *Board) sort() {
	b.order = make(map[string][]*view)
	for _, v := range b.agents {
		b.order[v.service] = append(b.order[v.service], v)
	}
	for _, views := range b.order {
		slices.SortFunc(views, func(v, w *view) int { return cmp.Compare(v.target.Name, w.target.Name) })
	}
}

// Heard takes a report in.
func (b *Board) Heard(r *peerpb.Report) {
	if r == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.agents[r.GetName()]
	if v == nil {
		return
	}
	if v.report != nil && v.report.GetIncarnation() == r.GetIncarnation() && v.report.GetClock() > r.GetClock() {
		return
	}
	v.report = r
	v.at = b.clock.Now()
	v.lost = 0
	v.losses = 0
}

// Lost passes an agent over for a while, longer each time until it is heard again.
func (b *Board) Lost(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.agents[name]; v != nil {
		v.lost = b.clock.Now().Add(lostKeep << min(v.losses, lostDoublings))
		v.losses++
	}
}

// Unheard tells whether agents of a service may be there that have not had the time to report yet: the instance
// list has not come, it names agents that were added lately and have not answered, or this process was paused.
func (b *Board) Unheard(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.known || b.paused(now) || (b.woke != 0 && now.Sub(b.woke) < unheardSpan) {
		return true
	}
	for _, v := range b.order[service] {
		if v.listed && v.report == nil && now.Sub(v.added) < unheardSpan {
			return true
		}
	}
	return false
}

// paused tells whether this process has just gone on after a pause; mu is held.
func (b *Board) paused(now clock.Time) bool {
	return b.looked != 0 && now.Sub(b.looked) > pauseGap
}

// Settled tells whether every service has an agent that answered or had its time to.
func (b *Board) Settled() bool {
	b.mu.Lock()
	services := make([]string, 0, len(b.order))
	for service := range b.order {
		services = append(services, service)
	}
	known := b.known
	b.mu.Unlock()
	return known && !slices.ContainsFunc(services, b.Unheard)
}

// Begin counts an attempt at an agent, and End takes it off again.
func (b *Board) Begin(name string, tokens uint32) {
	b.count(name, 1, int64(tokens))
}

// End takes an ended attempt off.
func (b *Board) End(name string, tokens uint32) {
	b.count(name, -1, -int64(tokens))
}

func (b *Board) count(name string, calls int32, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.agents[name]
	if v == nil {
		return
	}
	v.outstanding = uint32(max(int64(v.outstanding)+int64(calls), 0))
	v.tokens = uint64(max(int64(v.tokens)+tokens, 0))
}

// Candidates returns the agents of a service in a fixed order, with those that may get no new work marked as down.
func (b *Board) Candidates(service string, state *ticket.State) (targets []Target, candidates []balance.Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	views := b.order[service]
	targets = make([]Target, len(views))
	candidates = make([]balance.Candidate, len(views))
	for i, v := range views {
		targets[i] = v.target
		candidates[i] = b.candidate(now, v, state)
	}
	return targets, candidates
}

func (b *Board) candidate(now clock.Time, v *view, state *ticket.State) balance.Candidate {
	c := balance.Candidate{
		Name:        v.target.Name,
		Zone:        v.target.Zone,
		Outstanding: v.outstanding,
		Tokens:      v.tokens,
		Down:        !b.usable(now, v, state),
	}
	if r := v.report; r != nil {
		c.Load = r.GetTokens()
		c.Age = now.Sub(v.at)
		c.Window = r.GetWindow()
		c.Grant = r.GetGrant()
		c.Rate = r.GetRate()
	}
	return c
}

// usable tells whether an agent may get new work as far as the entry knows.
func (b *Board) usable(now clock.Time, v *view, state *ticket.State) bool {
	if !v.listed || v.report == nil || now < v.lost || out(state, v.target) {
		return false
	}
	age := now.Sub(v.at)
	if v.report.GetState() != stateLive {
		return age >= denialKeep && v.report.GetState() != stateLeaving
	}
	return age < staleAfter*b.period()
}

// States of an agent in its reports.
const (
	stateLive    = "live"    // takes new work
	stateLeaving = "leaving" // never takes new work again
)

// out tells whether operators have taken an agent or its availability zone out.
func out(state *ticket.State, t Target) bool {
	if z := state.Objects.Zones[t.Zone]; z != nil && z.State == "out" {
		return true
	}
	s := state.Objects.Backends[t.Name]
	return s != nil && s.State == "out"
}

// Report returns the last report of an agent and its age in milliseconds.
func (b *Board) Report(name string) (r *peerpb.Report, age clock.Span, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.agents[name]
	if v == nil || v.report == nil {
		return nil, 0, false
	}
	return v.report, b.clock.Now().Sub(v.at), true
}

// Target returns the address of a known agent.
func (b *Board) Target(name string) (t Target, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.agents[name]
	if v == nil {
		return Target{}, false
	}
	return v.target, true
}

// period returns the milliseconds after which an agent that sent no report is asked for one.
// It grows with the number of agents, so that reports stay a small part of the entry's work.
func (b *Board) period() clock.Span {
	return b.poll + clock.Span(max(len(b.agents)-reportFree, 0))*reportCost
}

// Due returns the agents from which no report came for a period, and counts them as asked.
func (b *Board) Due() (due []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.paused(now) {
		b.woke = now
	}
	b.looked = now
	period := b.period()
	for _, v := range b.agents {
		waited := v.asked != 0 && now.Sub(v.asked) < min(period, b.poll)
		fresh := v.report != nil && now.Sub(v.at) < period
		if waited || fresh {
			continue
		}
		v.asked = max(now, 1)
		due = append(due, v.target)
	}
	return due
}
