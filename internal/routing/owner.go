package routing

import (
	"maps"
	"slices"
	"sync"

	"carawaypick/pkg/clock"
)

// Standing is whether the backend server of a registration gets requests at the registered address.
type Standing int

// Standings of a registration.
const (
	Open    Standing = iota // it gets requests
	Trial                   // it gets one request at a time, whose answer tells whether the backend server is at the address
	Waiting                 // it gets none for a time, since another one gets them, whose answers will tell
	Closed                  // it gets none, since another backend server answered at the address
)

// String returns the word for the standing in logs.
func (s Standing) String() string {
	return [...]string{"open", "trial", "waiting", "closed"}[s]
}

const (
	// trialDelay is the time in ms since the last answer of a registered owner after which another registration is tried. One
	// that answers more often closes the other by its next answer, and one that ended is found out by the requests for it.
	trialDelay = clock.Second
	// doubtTime is the time in ms for which a registration waits in favour of a later incarnation, while no answer has told
	// which one is at the address: the later one may get no requests.
	doubtTime = 2 * clock.Second
)

// Owners records which backend server is at each address, as told by answers to this process. It is safe for concurrent
// use.
//
// Several registrations may name one address: an earlier incarnation whose registration has not expired, a backend server of
// another service that got the address, or an entry of another writer. Only the answers tell which backend server is there:
// one answers what is sent to it by its id, and rejects the rest. So a registration says nothing about another one, and no
// process tells others what it believes.
type Owners struct {
	memory clock.Span // time in ms for which an answer decides

	mu        sync.Mutex
	byAddress map[string]*owner
}

// owner is the backend server at an address.
type owner struct {
	id     string                // empty if none is known
	at     clock.Time            // when the last request that it answered, or rejected for another one, was sent
	ended  bool                  // its process was seen to end since then
	denied map[string]clock.Time // by id of another one: when the last request that was rejected for it was sent
}

// NewOwners returns an empty record. An answer decides for the given ms, after which a registration that it closed is tried
// again.
func NewOwners(memory clock.Span) *Owners {
	return &Owners{memory: memory, byAddress: make(map[string]*owner)}
}

// at returns the record of an address; mu is held.
func (o *Owners) at(address string) *owner {
	w := o.byAddress[address]
	if w == nil {
		w = &owner{denied: make(map[string]clock.Time)}
		o.byAddress[address] = w
	}
	return w
}

// Prove records that the backend server with the id answered a request that was sent to the address at sentAt, and returns
// the id of the one that was known there before, the same id if it is no news.
func (o *Owners) Prove(address, id string, sentAt clock.Time) (before string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.at(address)
	if sentAt < w.at {
		return id
	}
	before = w.id
	w.id, w.at, w.ended = id, sentAt, false
	delete(w.denied, id)
	return before
}

// Deny records that another backend server rejected a request that was sent to the address for the one with the id.
func (o *Owners) Deny(address, id string, sentAt clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.at(address)
	w.denied[id] = sentAt
	if w.id == id && w.at <= sentAt {
		w.id = ""
	}
}

// End records that the process at the address ended, which leaves open which backend server starts there next. What was
// registered while the process answered stays closed.
func (o *Owners) End(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.byAddress[address]; w != nil {
		w.ended = true
	}
}

// Proved reports whether the backend server of the registration answered at its address within the memory.
func (o *Owners) Proved(s *Server, now clock.Time) bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.byAddress[s.Address]
	return w != nil && w.id == s.ID && !w.ended && now.Sub(w.at) < o.memory
}

// owns reports whether the backend server of the registration is the last one that answered at its address.
func (o *Owners) owns(s *Server) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.byAddress[s.Address]
	return w != nil && w.id == s.ID
}

// prune forgets the addresses that no registration names, and rejections that no longer decide.
func (o *Owners) prune(registered func(address string) bool, now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for address, w := range o.byAddress {
		if !registered(address) {
			delete(o.byAddress, address)
			continue
		}
		maps.DeleteFunc(w.denied, func(_ string, at clock.Time) bool { return now.Sub(at) >= o.memory })
	}
}

// standing returns the standing of s among the registrations that name its address, s among them. The view tells which of
// them may get requests at all.
func (o *Owners) standing(v *View, s *Server, rivals []*Server, now clock.Time) Standing {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.byAddress[s.Address]
	if w == nil {
		w = &owner{}
	}
	refuted := func(r *Server) bool {
		if at, known := w.denied[r.ID]; known && at >= r.SeenAt && now.Sub(at) < o.memory {
			return true
		}
		return w.id != "" && w.id != r.ID && w.at > r.SeenAt && now.Sub(w.at) < o.memory
	}
	switch {
	case refuted(s):
		return Closed
	case w.id == s.ID:
		return Open
	}
	if w.id != "" && !w.ended {
		registered := slices.ContainsFunc(rivals, func(r *Server) bool { return r.ID == w.id && r.ExpiresAt == 0 })
		if registered && now.Sub(w.at) < trialDelay {
			return Waiting
		}
		if registered || now.Sub(w.at) < o.memory {
			return Trial
		}
	}
	for _, at := range w.denied {
		if now.Sub(at) < o.memory {
			return Trial
		}
	}
	for _, r := range rivals {
		if now.Sub(s.SeenAt) < doubtTime && r != s && r.Service == s.Service && s.supersededBy(r) && v.Usable(r, now) && !refuted(r) {
			return Waiting
		}
	}
	return Open
}

// supersededBy reports whether o is a later incarnation at the address of s, as far as their registrations tell.
func (s *Server) supersededBy(o *Server) bool {
	if (s.ExpiresAt == 0) != (o.ExpiresAt == 0) {
		return o.ExpiresAt == 0
	}
	if s.StartedAt != o.StartedAt {
		return s.StartedAt < o.StartedAt
	}
	return o.Position.After(s.Position)
}
