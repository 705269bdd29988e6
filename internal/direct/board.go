package direct

import (
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// Board holds what this entry knows of the load of each backend server.
type Board struct {
	clock clock.Clock

	mu      sync.Mutex
	servers map[string]*standing
	groups  map[string]*balance.Door  // groups of ranks that rejected work
	peers   map[string]map[string]int // requests in flight by peer and backend server
}

// standing is the load and the health of one backend server.
type standing struct {
	own    int // own requests in flight
	health balance.Health
	starts balance.Rate // own sends in the last second
}

// NewBoard returns an empty board.
func NewBoard(c clock.Clock) *Board {
	return &Board{clock: c, servers: make(map[string]*standing), groups: make(map[string]*balance.Door), peers: make(map[string]map[string]int)}
}

func (b *Board) standing(id string) *standing {
	s := b.servers[id]
	if s == nil {
		s = &standing{}
		b.servers[id] = s
	}
	return s
}

// Hear takes in what a peer has in flight; nil where the peer is gone.
func (b *Board) Hear(peer string, flights map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if flights == nil {
		delete(b.peers, peer)
		return
	}
	b.peers[peer] = flights
}

// Flights returns the own requests in flight by backend server.
func (b *Board) Flights() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	flights := make(map[string]int)
	for id, s := range b.servers {
		if s.own > 0 {
			flights[id] = s.own
		}
	}
	return flights
}

// Close notes that a rank rejected work, so that its group probably does not run.
func (b *Board) Close(group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.groups[group]
	if d == nil {
		d = &balance.Door{}
		b.groups[group] = d
	}
	d.Close(b.clock.Now())
}

// Open notes that a rank ran work.
func (b *Board) Open(group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.groups, group)
}

// Closed tells whether no rank of the servers may be sent work now; where one is due to be tried, it counts the trial.
func (b *Board) Closed(servers []*routing.Server, try bool) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range servers {
		if s.Group == "" {
			return false
		}
		d := b.groups[s.Service+"/"+s.Group]
		if d == nil {
			return false
		}
		if try && d.Try(now) {
			return false
		}
	}
	return len(servers) > 0
}

// Serving returns the servers that are in no group of ranks that rejects work, or all where each is in one.
func (b *Board) Serving(servers []*routing.Server) (open []*routing.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.groups) == 0 {
		return servers
	}
	for _, s := range servers {
		if s.Group == "" || b.groups[s.Service+"/"+s.Group] == nil {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return servers
	}
	return open
}

// Trial returns the servers of a group that rejected work and is due to be tried, and counts the trial.
func (b *Board) Trial(servers []*routing.Server) (trial []*routing.Server) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	tried := ""
	for _, s := range servers {
		name := s.Service + "/" + s.Group
		d := b.groups[name]
		if d == nil || (tried != name && (tried != "" || !d.Try(now))) {
			continue
		}
		tried = name
		trial = append(trial, s)
	}
	return trial
}

// Running returns the requests in flight at the servers, from all entries.
func (b *Board) Running(servers []*routing.Server) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, s := range servers {
		if st := b.servers[s.ID]; st != nil {
			total += st.own
		}
		for _, flights := range b.peers {
			total += flights[s.ID]
		}
	}
	return total
}

// Candidates returns what a placement needs to know of the servers.
func (b *Board) Candidates(servers []*routing.Server, service routing.Service, tried []string) []balance.Place {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	places := make([]balance.Place, len(servers))
	for i, s := range servers {
		st := b.standing(s.ID)
		others := 0
		for _, flights := range b.peers {
			others += flights[s.ID]
		}
		places[i] = balance.Place{
			Slots:    s.Slots,
			Own:      st.own,
			Others:   others,
			Zone:     s.Zone,
			Cold:     now < s.ColdUntil,
			ColdLeft: service.ColdRate,
			Started:  st.starts.Count(now),
			Down:     st.health.Down(now),
		}
		for _, id := range tried {
			places[i].Tried = places[i].Tried || id == s.ID
		}
	}
	return places
}

// Start counts a request that is sent to the backend server.
func (b *Board) Start(id string) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.standing(id)
	s.own++
	s.starts.Add(now)
}

// End counts the end of a request; ok tells whether the backend server did its part.
func (b *Board) End(id string, verdict balance.Verdict) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.standing(id)
	s.own--
	s.health.Note(now, verdict)
}

// Forget drops what is known of backend servers that are not in the view and have nothing in flight.
func (b *Board) Forget(v *routing.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[string]bool)
	for _, s := range v.Servers {
		known[s.Service+"/"+s.Group] = true
	}
	for group := range b.groups {
		if !known[group] {
			delete(b.groups, group)
		}
	}
	for id, s := range b.servers {
		if v.Servers[id] == nil && s.own == 0 {
			delete(b.servers, id)
		}
	}
}
