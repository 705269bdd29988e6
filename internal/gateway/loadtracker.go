package gateway

import (
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// LoadTracker tracks the load and health of each backend server as seen by this entry.
type LoadTracker struct {
	clock clock.Clock

	mu           sync.Mutex
	servers      map[string]*serverLoad
	breakers     map[string]*balance.CircuitBreaker // by service/group, for groups of ranks that rejected work
	peerInFlight map[string]map[string]int          // by peer IP address and backend server id
}

// serverLoad is the load and health of one backend server.
type serverLoad struct {
	inFlight int // requests of this entry that are in flight
	health   balance.Health
	sendRate balance.SlidingCounter // requests that this entry sent within the last second
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker(c clock.Clock) *LoadTracker {
	return &LoadTracker{clock: c, servers: make(map[string]*serverLoad), breakers: make(map[string]*balance.CircuitBreaker), peerInFlight: make(map[string]map[string]int)}
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
		for _, inFlight := range t.peerInFlight {
			total += inFlight[s.ID]
		}
	}
	return total
}

// Candidates returns the servers as endpoints to choose from, with their load and health and whether they are in tried.
func (t *LoadTracker) Candidates(servers []*routing.Server, service routing.Service, tried []string) []balance.Endpoint {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := make([]balance.Endpoint, len(servers))
	for i, s := range servers {
		st := t.serverLoad(s.ID)
		others := 0
		for _, inFlight := range t.peerInFlight {
			others += inFlight[s.ID]
		}
		endpoints[i] = balance.Endpoint{
			Slots:        s.Slots,
			OwnInFlight:  st.inFlight,
			PeerInFlight: others,
			Zone:         s.Zone,
			Cold:         now < s.ColdUntil,
			ColdRate:     service.ColdRate,
			RecentStarts: st.sendRate.Count(now),
			Ejected:      st.health.Ejected(now),
		}
		for _, id := range tried {
			endpoints[i].Tried = endpoints[i].Tried || id == s.ID
		}
	}
	return endpoints
}

// Start counts a request that is sent to the backend server id.
func (t *LoadTracker) Start(id string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverLoad(id)
	s.inFlight++
	s.sendRate.Add(now)
}

// End counts the end of a request at the backend server id; signal updates the server's health.
func (t *LoadTracker) End(id string, signal balance.HealthSignal) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverLoad(id)
	s.inFlight--
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
}
