package routing

import (
	"slices"
	"strings"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// Server is the registration of a backend server.
type Server struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Slots     int // concurrent requests that the server runs
	Draining  bool
	Group     string         // lock-step group of ranks; empty for none
	Rank      int            // rank in the group
	ColdUntil clock.Time     // time until which the server is cold; directly after decoding, the ms that remain until then
	StartedAt int64          // Unix time in ms at which the server started; 0 if unknown
	Position  store.Position // position in the store of the registration
	SeenAt    clock.Time     // time at which this process learned of this incarnation at this address
	ExpiresAt clock.Time     // time from which the registration counts as expired; 0 while it is in the store
	OnTrial   bool           // gets one request at a time, see Trial
	Doubted   bool           // other registrations name its address, and no answer has told yet which one is right
}

// View is an immutable snapshot of the configuration and the backend servers as known to one process.
type View struct {
	Config         *Config              // nil until a configuration is received
	Position       store.Position       // position in the store up to which changes are applied
	Servers        map[string]*Server   // by id
	Services       map[string][]*Server // usable backend servers by service, ordered by id
	EvacuatedZones map[string]bool      // availability zones that accept no requests
	Owners         *Owners              // tells which of several registrations with one address are used; nil if nothing is known
	Contested      map[string]Standing  // by id: standings of the registrations with the address of another one, and of those that aren't open

	rivals map[string][]*Server // by address: registrations that name it, if there are several
}

// IndexServers builds Services and Contested from Servers; call it before publishing the view.
func (v *View) IndexServers(now clock.Time) {
	if v.Owners == nil {
		v.Owners = NewOwners(0)
	}
	v.indexAddresses(now)
	v.Services = make(map[string][]*Server)
	for id, s := range v.Servers {
		if !v.Usable(s, now) || v.Contested[id] >= Waiting {
			continue
		}
		if standing, contested := v.Contested[id]; contested && !v.Owners.owns(s) {
			doubted := *s
			doubted.Doubted, doubted.OnTrial = true, standing == Trial
			if doubted.OnTrial {
				doubted.Slots = 1
			}
			s = &doubted
		}
		v.Services[s.Service] = append(v.Services[s.Service], s)
	}
	for _, servers := range v.Services {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
}

// indexAddresses builds Contested and rivals from Servers.
func (v *View) indexAddresses(now clock.Time) {
	first := make(map[string]*Server, len(v.Servers)) // by address
	v.rivals, v.Contested = make(map[string][]*Server), make(map[string]Standing)
	for _, s := range v.Servers {
		if s.ExpiresAt != 0 && now >= s.ExpiresAt {
			continue
		}
		switch other := first[s.Address]; {
		case other == nil:
			first[s.Address] = s
		case v.rivals[s.Address] == nil:
			v.rivals[s.Address] = []*Server{other, s}
		default:
			v.rivals[s.Address] = append(v.rivals[s.Address], s)
		}
	}
	v.Owners.prune(func(address string) bool { return first[address] != nil }, now)
	for address, s := range first {
		for _, r := range v.rivals[address] {
			v.Contested[r.ID] = v.standing(r, now)
		}
		if standing := v.standing(s, now); standing != Open {
			v.Contested[s.ID] = standing
		}
	}
}

// standing returns the standing of s, which is in Servers, at a time.
func (v *View) standing(s *Server, now clock.Time) Standing {
	rivals := v.rivals[s.Address]
	if rivals == nil {
		rivals = []*Server{s}
	}
	return v.Owners.standing(v, s, rivals, now)
}

// CountContested returns the numbers of registrations with the address of another one, and of those that get no requests.
func (v *View) CountContested() (contested, closed int) {
	for id, standing := range v.Contested {
		if s := v.Servers[id]; s != nil && len(v.rivals[s.Address]) > 0 {
			contested++
		}
		if standing >= Waiting {
			closed++
		}
	}
	return contested, closed
}

// StandingsChanged reports whether a registration with the address has another standing at a time than when the view was
// indexed; with an empty address, whether any contested one has.
func (v *View) StandingsChanged(address string, now clock.Time) bool {
	for id, standing := range v.Contested {
		if s := v.Servers[id]; s != nil && (address == "" || s.Address == address) && v.standing(s, now) != standing {
			return true
		}
	}
	return false
}

// Usable reports whether new requests may be sent to s.
func (v *View) Usable(s *Server, now clock.Time) bool {
	return !s.Draining && !v.EvacuatedZones[s.Zone] && (s.ExpiresAt == 0 || now < s.ExpiresAt)
}
