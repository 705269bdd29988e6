package routing

import (
	"slices"

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
	ExpiresAt clock.Time     // time from which the registration counts as expired; 0 while it is in the store
}

// View is an immutable snapshot of the configuration and the backend servers as known to one process.
type View struct {
	Config         *Config              // nil until a configuration is received
	Position       store.Position       // position in the store up to which changes are applied
	Servers        map[string]*Server   // by id
	Services       map[string][]*Server // usable backend servers by service, ordered by id
	EvacuatedZones map[string]bool      // availability zones that accept no requests
}

// IndexServers builds Services from Servers; call it before publishing the view.
func (v *View) IndexServers(now clock.Time) {
	v.Services = make(map[string][]*Server)
	newestByAddress := make(map[string]*Server) // an earlier incarnation at the same address may still be registered
	for _, s := range v.Servers {
		if o := newestByAddress[s.Address]; o == nil || o.supersededBy(s) {
			newestByAddress[s.Address] = s
		}
	}
	for _, s := range v.Servers {
		if v.Usable(s, now) && newestByAddress[s.Address] == s {
			v.Services[s.Service] = append(v.Services[s.Service], s)
		}
	}
	for _, servers := range v.Services {
		slices.SortFunc(servers, func(a, b *Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// supersededBy reports whether o is a later incarnation at the address of s.
func (s *Server) supersededBy(o *Server) bool {
	if s.StartedAt != o.StartedAt {
		return s.StartedAt < o.StartedAt
	}
	return o.Position.After(s.Position)
}

// Usable reports whether new requests may be sent to s.
func (v *View) Usable(s *Server, now clock.Time) bool {
	return !s.Draining && !v.EvacuatedZones[s.Zone] && (s.ExpiresAt == 0 || now < s.ExpiresAt)
}
