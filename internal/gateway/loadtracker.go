package gateway

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// LoadTracker tracks the load and health of each backend server as seen by this entry.
type LoadTracker struct {
	clock   clock.Clock
	entries func() *balance.EntrySet // returns the entries among which the rates of servers are divided

	Coordinated func() bool            // reports whether coordinated admission is on, and takes no lock; nil means that it is off
	Bounds      balance.CapacityBounds // of learned capacities

	mu           sync.Mutex
	servers      map[string]*serverLoad
	breakers     map[string]*balance.CircuitBreaker // by service/group, for groups of ranks that rejected work
	peerInFlight map[string]map[string]int          // by peer IP address and backend server id
	peerTotals   map[string]int                     // sums of these over the peers, by backend server id
	namedRates   map[string]namedRate               // by backend server id
	leaving      map[string]leavingServer           // by backend server id
	drainTime    clock.Span                         // see Settings.DrainTime
	trials       map[string]trial                   // by address: of the registrations that are on trial there
	recovered    map[string]clock.Time              // by backend server id: when it took a request again after it had rejected some
	nextReport   string                             // backend server id with which the next heartbeat's reports of these begin
	learning     capacityLearning
}

const (
	coldWindow     = clock.Second     // in which the rate of a cold backend server is divided into whole requests
	maxCachedParts = 8                // rates of one server, which may name a new one in each answer
	restartTime    = 5 * clock.Second // within which a backend server that ended may be back under the same registration
)

// serverLoad is the load and health of one backend server.
type serverLoad struct {
	inFlight  int // requests of this entry that are in flight
	health    balance.Health
	turnAway  balance.TurnAway
	startedAt int64           // of the incarnation that turnAway is for
	sent      balance.SendLog // requests of this entry while the server's rate was limited

	coldUntil clock.Time // time until which the server may be cold, whatever its registration says

	parts    map[balance.ServerRate]int // of rates, for this entry among the entries
	entrySet *balance.EntrySet          // that these are for

	capacity      balance.ServerCapacity
	capacityStart int64             // of the incarnation that capacity is for
	logged        float64           // learned capacity at the last log line, 0 for none
	loggedAt      clock.Time        // time of that line
	work          float64           // of the requests of this entry, see balance.Work
	owned         bool              // see balance.Owns
	ownedIn       *balance.EntrySet // that owned is for
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker(c clock.Clock) *LoadTracker {
	return &LoadTracker{clock: c, entries: func() *balance.EntrySet { return &balance.EntrySet{} }, servers: make(map[string]*serverLoad), breakers: make(map[string]*balance.CircuitBreaker), peerInFlight: make(map[string]map[string]int), peerTotals: make(map[string]int), namedRates: make(map[string]namedRate), leaving: make(map[string]leavingServer), trials: make(map[string]trial), recovered: make(map[string]clock.Time), learning: newCapacityLearning()}
}

func (t *LoadTracker) serverLoad(id string) *serverLoad {
	s := t.servers[id]
	if s == nil {
		s = &serverLoad{}
		t.servers[id] = s
	}
	return s
}

// SetPeerInFlight sets the requests in flight of a peer by backend server; nil removes the peer.
func (t *LoadTracker) SetPeerInFlight(peer string, inFlight map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, count := range t.peerInFlight[peer] {
		if t.peerTotals[id] -= count; t.peerTotals[id] == 0 {
			delete(t.peerTotals, id)
		}
	}
	for id, count := range inFlight {
		t.peerTotals[id] += count
	}
	if inFlight == nil {
		delete(t.peerInFlight, peer)
		return
	}
	t.peerInFlight[peer] = inFlight
}

// InFlight returns this entry's requests in flight by backend server.
func (t *LoadTracker) InFlight() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight := make(map[string]int)
	for id, s := range t.servers {
		if s.inFlight > 0 {
			inFlight[id] = s.inFlight
		}
	}
	return inFlight
}

// TripGroup trips the group's circuit breaker after a rank rejected work, since the group is then probably not running.
func (t *LoadTracker) TripGroup(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	breaker := t.breakers[group]
	if breaker == nil {
		breaker = &balance.CircuitBreaker{}
		t.breakers[group] = breaker
	}
	breaker.Trip(t.clock.Now())
}

// ResetGroup removes the group's circuit breaker after a rank has run work.
func (t *LoadTracker) ResetGroup(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.breakers, group)
}

// AllTripped reports whether all servers belong to groups with a tripped circuit breaker. With probe set, it returns false
// if one of the breakers admits a probe now, and counts the probe on that breaker.
func (t *LoadTracker) AllTripped(servers []*routing.Server, probe bool) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range servers {
		if s.Group == "" {
			return false
		}
		breaker := t.breakers[s.Service+"/"+s.Group]
		if breaker == nil {
			return false
		}
		if probe && breaker.AllowProbe(now) {
			return false
		}
	}
	return len(servers) > 0
}

// Available returns the servers outside groups with a tripped circuit breaker, or all servers if every one is in such a
// group.
func (t *LoadTracker) Available(servers []*routing.Server) (available []*routing.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.breakers) == 0 {
		return servers
	}
	for _, s := range servers {
		if s.Group == "" || t.breakers[s.Service+"/"+s.Group] == nil {
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return servers
	}
	return available
}

// ProbeServers returns the servers of one group whose tripped circuit breaker admits a probe now, and counts the probe.
func (t *LoadTracker) ProbeServers(servers []*routing.Server) (probes []*routing.Server) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	probed := ""
	for _, s := range servers {
		name := s.Service + "/" + s.Group
		breaker := t.breakers[name]
		if breaker == nil || (probed != name && (probed != "" || !breaker.AllowProbe(now))) {
			continue
		}
		probed = name
		probes = append(probes, s)
	}
	return probes
}

// TotalInFlight returns the requests in flight at the servers from all entries.
func (t *LoadTracker) TotalInFlight(servers []*routing.Server) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, s := range servers {
		if st := t.servers[s.ID]; st != nil {
			total += st.inFlight
		}
		total += t.peerTotals[s.ID]
	}
	return total
}

// endpoint returns the state of a server; mu is held.
func (t *LoadTracker) endpoint(s *routing.Server, service routing.Service, now clock.Time) (e balance.Endpoint) {
	load := t.serverLoad(s.ID)
	e = balance.Endpoint{Slots: s.Slots, OwnInFlight: load.inFlight, PeerInFlight: t.peerTotals[s.ID], Zone: s.Zone, Ejected: load.health.Ejected(now), Leaving: t.leaves(s)}
	if s.OnTrial {
		e.OnTrial = load.inFlight > 0 || now < t.trials[s.Address].next
	}
	turnAway := load.turnAwayOf(s)
	if until, asked := turnAway.AskedUntil(now); asked {
		e.AskedUntil = until
	}
	e.TurnsAway = turnAway.Closed(now, e.PeerInFlight > 0)
	for _, rate := range t.limits(s, service, now) {
		part, sent := load.partOf(rate, s.ID, t.entries()), load.sent.Within(now, rate.Window)
		if !e.Limited || part-sent < e.Part-e.Sent {
			e.Limited, e.Part, e.Sent, e.Rate = true, part, sent, rate
		}
	}
	return e
}

// partOf returns the part of the server's rate that this entry may send.
func (l *serverLoad) partOf(rate balance.ServerRate, id string, entries *balance.EntrySet) int {
	if l.entrySet != entries || len(l.parts) > maxCachedParts {
		l.parts, l.entrySet = make(map[balance.ServerRate]int), entries
	}
	part, known := l.parts[rate]
	if !known {
		part = rate.Part(xxhash.Sum64String(id), entries)
		l.parts[rate] = part
	}
	return part
}

// start counts a request that is sent to the backend server id; mu is held.
func (t *LoadTracker) start(id string, limited bool, now clock.Time) {
	load := t.serverLoad(id)
	load.inFlight++
	load.turnAway.Send(now)
	if limited {
		load.sent.Add(now, balance.MaxRateWindow)
	}
}

// turnAwayOf returns how this incarnation of the server turns requests away.
func (l *serverLoad) turnAwayOf(s *routing.Server) *balance.TurnAway {
	if l.startedAt != s.StartedAt {
		l.turnAway, l.startedAt = balance.TurnAway{}, s.StartedAt
	}
	return &l.turnAway
}

// RecordTurnedAway records that s rejected a request and wants none from this entry for the given ms, 0 if it names no time.
func (t *LoadTracker) RecordTurnedAway(s *routing.Server, wait clock.Span) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.serverLoad(s.ID)
	busy := load.inFlight > 1 || t.peerTotals[s.ID] > 0 // beside the request that was rejected
	load.turnAwayOf(s).Reject(now, wait, t.entries().Known, busy)
}

// RecordTaken records that s took a request that was sent at sentAt.
func (t *LoadTracker) RecordTaken(s *routing.Server, sentAt clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.serverLoad(s.ID).turnAwayOf(s).Answer(sentAt) {
		t.recovered[s.ID] = t.clock.Now()
	}
}

// RecordCold records that the backend server id is cold for the given ms, or may be: its registration can be older.
func (t *LoadTracker) RecordCold(id string, remaining clock.Span) {
	until := t.clock.Now().Add(remaining)
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.serverLoad(id)
	load.coldUntil = max(load.coldUntil, until)
}

// End counts the end of a request at the backend server id; signal updates the server's health.
func (t *LoadTracker) End(id string, signal balance.HealthSignal) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverLoad(id)
	s.inFlight--
	if s.inFlight <= 0 {
		s.work = 0
	}
	s.health.Record(now, signal)
}

// Prune removes the circuit breakers of groups that are not in the view, and the load of backend servers that are not
// in it and have no request of this entry in flight.
func (t *LoadTracker) Prune(v *routing.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]bool)
	for _, s := range v.Servers {
		known[s.Service+"/"+s.Group] = true
	}
	for group := range t.breakers {
		if !known[group] {
			delete(t.breakers, group)
		}
	}
	for id, s := range t.servers {
		if v.Servers[id] == nil && s.inFlight == 0 {
			delete(t.servers, id)
		}
	}
	maps.DeleteFunc(t.namedRates, func(id string, _ namedRate) bool { return v.Servers[id] == nil })
	t.pruneTrials(v)
	t.indexCapacities(v)
	now := t.clock.Now() // an incarnation that leaves never returns, so one that is registered is not forgotten
	maps.DeleteFunc(t.leaving, func(id string, l leavingServer) bool {
		return v.Servers[id] == nil && now.Sub(l.heardAt) > leavingMemory
	})
}
