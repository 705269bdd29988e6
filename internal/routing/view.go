package routing

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Server is a backend server as it registered itself.
type Server struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Slots     int // requests that it runs at once
	Leaving   bool
	Group     string     // group of ranks that run in lock-step, empty for none
	Rank      int        // in the group
	ColdUntil clock.Time // moment up to which it bears only the cold rate; a decoder gives the ms that are left
	Born      int64      // Unix time in ms of its start; 0 where it is not told
	Revision  int64      // the store's revision of the entry
	GoneAt    clock.Time // moment from which it counts as gone; 0 while its entry stands
}

// View is what a process believes of the configuration and the backend servers at one moment.
type View struct {
	Table     *Table // nil until a configuration is known
	Revision  int64
	Servers   map[string]*Server   // by id
	Services  map[string][]*Server // usable backend servers by service, in the order of their ids
	Evacuated map[string]bool      // availability zones that take nothing
}

// Arrange fills Services from Servers; it must be called before the view is published.
func (v *View) Arrange(now clock.Time) {
	v.Services = make(map[string][]*Server)
	newest := make(map[string]*Server) // by address: an earlier life may still be registered
	for _, s := range v.Servers {
		if o := newest[s.Address]; o == nil || o.before(s) {
			newest[s.Address] = s
		}
	}
	for _, s := range v.Servers {
		if v.Usable(s, now) && newest[s.Address] == s {
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

// before tells whether o took the address over from s.
func (s *Server) before(o *Server) bool {
	if s.Born != o.Born {
		return s.Born < o.Born
	}
	return s.Revision < o.Revision
}

// Usable tells whether new work may go to s.
func (v *View) Usable(s *Server, now clock.Time) bool {
	return !s.Leaving && !v.Evacuated[s.Zone] && (s.GoneAt == 0 || now < s.GoneAt)
}
