package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// ClosedServers tells why none of the servers can be chosen.
type ClosedServers struct {
	Limited  bool       // one could be, but this entry has used up its part of the rate
	ReopenIn clock.Span // ms until the first one that asked for no requests can be, 0 for none
	Reasons  string     // numbers of the servers by reason, for logs
}

// Choose chooses one of the servers for a request that was already sent to those in tried, counts the request that is sent
// to it, and returns it as it was before. If none is usable i is -1. Servers that leave are used only if no other is, and those that may not be
// at their addresses likewise for the later attempts of a request.
func (t *LoadTracker) Choose(servers []*routing.Server, service routing.Service, tried []string, zone string) (i int, chosen balance.Endpoint, closed ClosedServers) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := t.endpoints(servers, service, tried, now)
	if len(tried) > 0 {
		skipDoubted(servers, endpoints)
	}
	i = t.pick(servers, service, endpoints, zone, now)
	if i < 0 && t.reopenLeaving(servers, endpoints, now) {
		i = t.pick(servers, service, endpoints, zone, now)
	}
	if i < 0 {
		return i, chosen, closedServers(endpoints, now)
	}
	if servers[i].OnTrial {
		t.startTrial(servers[i].Address, now)
	}
	t.start(servers[i].ID, endpoints[i].Limited, now)
	return i, endpoints[i], closed
}

// endpoints returns the states of the servers for a request that was already sent to those in tried; mu is held.
func (t *LoadTracker) endpoints(servers []*routing.Server, service routing.Service, tried []string, now clock.Time) []balance.Endpoint {
	endpoints := make([]balance.Endpoint, len(servers))
	for i, s := range servers {
		endpoints[i] = t.endpoint(s, service, now)
		endpoints[i].Tried = slices.Contains(tried, s.ID)
	}
	return endpoints
}

// reopenLeaving lets the endpoints of leaving servers be chosen that still serve, and reports whether there are any; mu is
// held.
func (t *LoadTracker) reopenLeaving(servers []*routing.Server, endpoints []balance.Endpoint, now clock.Time) (any bool) {
	for i, s := range servers {
		if endpoints[i].Leaving && t.mayStillServe(s, now) {
			endpoints[i].Leaving, any = false, true
		}
	}
	return any
}

// closedServers summarizes why none of the endpoints can be chosen.
func closedServers(endpoints []balance.Endpoint, now clock.Time) (closed ClosedServers) {
	counts := make(map[string]int)
	for _, e := range endpoints {
		reason := e.Closed()
		counts[reason]++
		if e.Tried || e.Leaving || e.Ejected {
			continue
		}
		closed.Limited = closed.Limited || e.RateUsedUp()
		if e.AskedUntil > 0 && (closed.ReopenIn == 0 || e.AskedUntil.Sub(now) < closed.ReopenIn) {
			closed.ReopenIn = e.AskedUntil.Sub(now)
		}
	}
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		reasons = append(reasons, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	closed.Reasons = strings.Join(reasons, ", ")
	return closed
}

// Room is what servers have room for.
type Room struct {
	Requests float64    // that may run at once: those in flight and those that this entry may add now
	Closed   bool       // no server that is up accepts any request from this entry, as their rates are dealt to others
	Rate     float64    // requests per second that this entry may send, 0 if a server that is up has no limit
	ReopenIn clock.Span // ms until the first server that asked for no requests accepts some, 0 if none asked
}

// Room returns what the servers have room for; limit returns how many requests a server with the slots runs at once.
func (t *LoadTracker) Room(servers []*routing.Server, service routing.Service, limit func(slots int) float64) (room Room) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	up, limited := 0, 0
	down := 0.0 // requests that the servers which are down would run
	learned := t.learnedCapacities(servers, service.Name, now)
	for i, s := range servers {
		e := t.endpoint(s, service, now)
		size := limit(s.Slots)
		if learned != nil {
			size *= learned[i].Requests / float64(max(s.Slots, 1))
		}
		if e.Ejected || e.Leaving {
			running := min(size, float64(e.InFlight()))
			room.Requests += running
			down += size - running
			continue
		}
		up++
		if e.AskedUntil > 0 && (room.ReopenIn == 0 || e.AskedUntil.Sub(now) < room.ReopenIn) {
			room.ReopenIn = e.AskedUntil.Sub(now)
		}
		if e.AskedUntil > 0 || e.TurnsAway {
			size = min(size, float64(e.InFlight()))
		}
		if e.AskedUntil > 0 {
			limited++
		} else if e.Limited {
			size = min(size, float64(e.InFlight()+max(e.Part-e.Sent, 0)))
			limited++
			room.Rate += e.Rate.PerSecond(e.Part)
		}
		room.Requests += size
	}
	if up == 0 {
		room.Requests += down // a request is admitted, and rejected when no server can be chosen
	}
	room.Closed = up > 0 && limited == up && room.Rate == 0
	if limited < up {
		room.Rate = 0
	}
	return room
}
