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
	unreachableBackoff    = 500 * clock.Millisecond // time for which an unreachable agent is skipped, doubled per failure
	minPause              = clock.Second            // gap between two calls of DuePolls that counts as a pause of this process
	firstReportTimeout    = 2 * clock.Second        // time allowed for the first report of a newly listed agent
	staleReportPeriods    = 5                       // age in report periods from which a report is no longer used
	fullRateAgents        = 20                      // number of agents up to which the report period is the poll interval
	periodPerAgent        = 200 * clock.Millisecond // added to the report period for each agent above fullRateAgents; these agents together are polled less than 5 times per second
	unavailableRetryAfter = 2 * clock.Second        // time after which an agent that accepted no work is tried again
	maxBackoffDoublings   = 5                       // maximum number of doublings of unreachableBackoff
)

// Target identifies one agent for an attempt.
type Target struct {
	Name    string
	Zone    string
	Address string
}

// agentState is the entry's state of one agent.
type agentState struct {
	target      Target
	service     string
	listed      bool // listed in the instance list and not leaving
	report      *peerpb.Report
	addedAt     clock.Time // time of first listing at this address
	reportedAt  clock.Time // time at which report was received
	polledAt    clock.Time // time of the last poll
	polling     bool       // that poll has not ended
	avoidUntil  clock.Time // the agent is skipped until this time
	failures    int        // consecutive attempts that could not reach the agent
	outstanding uint32     // attempts in flight from this entry
	tokens      uint64     // expected tokens of the attempts in flight
}

// AgentTracker tracks the reports, load and reachability of an entry's agents; it is safe for concurrent use.
type AgentTracker struct {
	mu           sync.Mutex
	clock        clock.Clock
	pollInterval clock.Span
	agents       map[string]*agentState
	byService    map[string][]*agentState // agents by service, sorted by name
	initialized  bool                     // an instance list was received
	checkedAt    clock.Time               // time of the last DuePolls
	resumedAt    clock.Time               // time at which this process last resumed after a pause
}

// NewAgentTracker returns a tracker without agents that expects a report every pollInterval milliseconds.
func NewAgentTracker(c clock.Clock, pollInterval clock.Span) *AgentTracker {
	return &AgentTracker{clock: c, pollInterval: pollInterval, agents: make(map[string]*agentState)}
}

// Update sets the agents that this entry uses. An agent that is no longer among them is kept while attempts are running.
func (a *AgentTracker) Update(agents []platform.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialized = true
	seen := make(map[string]struct{}, len(agents))
	for _, i := range agents {
		seen[i.Name] = struct{}{}
		s := a.agents[i.Name]
		if s == nil || s.target.Address != i.Peer {
			s = &agentState{addedAt: a.clock.Now()}
			a.agents[i.Name] = s
		}
		s.target = Target{Name: i.Name, Zone: i.Zone, Address: i.Peer}
		s.service = i.Service
		s.listed = i.State != platform.StateLeaving
	}
	for name, s := range a.agents {
		if _, ok := seen[name]; !ok && s.outstanding == 0 {
			delete(a.agents, name)
		} else if !ok {
			s.listed = false
		}
	}
	a.indexByService()
}

// indexByService groups the agents by service and sorts them by name; mu is held.
func (a *AgentTracker) indexByService() {
	a.byService = make(map[string][]*agentState)
	for _, s := range a.agents {
		a.byService[s.service] = append(a.byService[s.service], s)
	}
	for _, states := range a.byService {
		slices.SortFunc(states, func(s, other *agentState) int { return cmp.Compare(s.target.Name, other.target.Name) })
	}
}

// ReceiveReport stores a report and marks its agent as reachable; an older report of the same incarnation is ignored.
func (a *AgentTracker) ReceiveReport(r *peerpb.Report) {
	if r == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.agents[r.GetName()]
	if s == nil {
		return
	}
	if s.report != nil && s.report.GetIncarnation() == r.GetIncarnation() && s.report.GetClock() > r.GetClock() {
		return
	}
	s.report = r
	s.reportedAt = a.clock.Now()
	s.avoidUntil = 0
	s.failures = 0
}

// PollEnded records that the poll of an agent has ended, so that the next one may start.
func (a *AgentTracker) PollEnded(t Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.agents[t.Name]; s != nil && s.target.Address == t.Address {
		s.polling = false
	}
}

// MarkUnreachable skips an agent for unreachableBackoff, doubled with each call until its next report.
func (a *AgentTracker) MarkUnreachable(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.agents[name]; s != nil {
		s.avoidUntil = a.clock.Now().Add(unreachableBackoff << min(s.failures, maxBackoffDoublings))
		s.failures++
	}
}

// ReportsPending reports whether a service may have agents that had no time to report yet: no instance list was
// received, agents were added less than firstReportTimeout ago, or this process has just resumed after a pause.
func (a *AgentTracker) ReportsPending(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.initialized || a.wasPaused(now) || (a.resumedAt != 0 && now.Sub(a.resumedAt) < firstReportTimeout) {
		return true
	}
	for _, s := range a.byService[service] {
		if s.listed && s.report == nil && now.Sub(s.addedAt) < firstReportTimeout {
			return true
		}
	}
	return false
}

// wasPaused reports whether this process was paused since the last DuePolls; mu is held.
func (a *AgentTracker) wasPaused(now clock.Time) bool {
	return a.checkedAt != 0 && now.Sub(a.checkedAt) > minPause
}

// Ready reports whether an instance list was received and no service has pending reports.
func (a *AgentTracker) Ready() bool {
	a.mu.Lock()
	services := make([]string, 0, len(a.byService))
	for service := range a.byService {
		services = append(services, service)
	}
	initialized := a.initialized
	a.mu.Unlock()
	return initialized && !slices.ContainsFunc(services, a.ReportsPending)
}

// BeginAttempt adds an attempt and its tokens to an agent's outstanding work.
func (a *AgentTracker) BeginAttempt(name string, tokens uint32) {
	a.addOutstanding(name, 1, int64(tokens))
}

// EndAttempt removes an attempt from an agent's outstanding work.
func (a *AgentTracker) EndAttempt(name string, tokens uint32) {
	a.addOutstanding(name, -1, -int64(tokens))
}

func (a *AgentTracker) addOutstanding(name string, calls int32, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.agents[name]
	if s == nil {
		return
	}
	s.outstanding = uint32(max(int64(s.outstanding)+int64(calls), 0))
	s.tokens = uint64(max(int64(s.tokens)+tokens, 0))
}

// Candidates returns the agents of a service sorted by name; those that must not get new work are marked as down.
func (a *AgentTracker) Candidates(service string, state *ticket.State) (targets []Target, candidates []balance.Candidate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	states := a.byService[service]
	targets = make([]Target, len(states))
	candidates = make([]balance.Candidate, len(states))
	for i, s := range states {
		targets[i] = s.target
		candidates[i] = a.candidate(now, s, state)
	}
	return targets, candidates
}

func (a *AgentTracker) candidate(now clock.Time, s *agentState, state *ticket.State) balance.Candidate {
	c := balance.Candidate{
		Name:        s.target.Name,
		Zone:        s.target.Zone,
		Outstanding: s.outstanding,
		OwnTokens:   s.tokens,
		Down:        !a.usable(now, s, state),
	}
	if r := s.report; r != nil {
		c.ReportedTokens = r.GetTokens()
		c.ReportAge = now.Sub(s.reportedAt)
		c.Window = r.GetWindow()
		c.Grant = r.GetGrant()
		c.TokenRate = r.GetRate()
	}
	return c
}

// usable reports whether an agent may get new work, by its listing, configuration, reachability and last report.
func (a *AgentTracker) usable(now clock.Time, s *agentState, state *ticket.State) bool {
	if !s.listed || s.report == nil || now < s.avoidUntil || isOut(state, s.target) {
		return false
	}
	age := now.Sub(s.reportedAt)
	if s.report.GetState() != stateLive {
		return age >= unavailableRetryAfter && s.report.GetState() != stateLeaving
	}
	return age < staleReportPeriods*a.reportPeriod()
}

// States of an agent in its reports.
const (
	stateLive    = "live"    // accepts new work
	stateLeaving = "leaving" // accepts no new work any more
)

// isOut reports whether operators have taken an agent or its availability zone out of service.
func isOut(state *ticket.State, t Target) bool {
	if z := state.Objects.Zones[t.Zone]; z != nil && z.State == "out" {
		return true
	}
	s := state.Objects.Backends[t.Name]
	return s != nil && s.State == "out"
}

// Report returns the last report of an agent and its age in milliseconds.
func (a *AgentTracker) Report(name string) (r *peerpb.Report, age clock.Span, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.agents[name]
	if s == nil || s.report == nil {
		return nil, 0, false
	}
	return s.report, a.clock.Now().Sub(s.reportedAt), true
}

// Target returns the target of a known agent.
func (a *AgentTracker) Target(name string) (t Target, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.agents[name]
	if s == nil {
		return Target{}, false
	}
	return s.target, true
}

// reportPeriod returns the age in milliseconds at which an agent's report is renewed by a poll.
// It grows with the number of agents to limit the cost of reports.
func (a *AgentTracker) reportPeriod() clock.Span {
	return a.pollInterval + clock.Span(max(len(a.agents)-fullRateAgents, 0))*periodPerAgent
}

// DuePolls returns the agents that have no report younger than the report period and were not polled recently, and
// records them as polled.
func (a *AgentTracker) DuePolls() (due []Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.wasPaused(now) {
		a.resumedAt = now
	}
	a.checkedAt = now
	period := a.reportPeriod()
	for _, s := range a.agents {
		recentlyPolled := s.polledAt != 0 && now.Sub(s.polledAt) < min(period, a.pollInterval)
		fresh := s.report != nil && now.Sub(s.reportedAt) < period
		if recentlyPolled || fresh || s.polling {
			continue
		}
		s.polledAt, s.polling = max(now, 1), true
		due = append(due, s.target)
	}
	return due
}
