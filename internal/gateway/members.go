package gateway

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"

	"carawaypick/internal/engine"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// memberQuery tells the engine for which an agent asks.
type memberQuery struct {
	address        string
	group, service string // as the engine and the agent's settings tell; empty if unknown
}

// matches reports whether the registration may be that of the engine.
func (q memberQuery) matches(s *routing.Server) bool {
	return s.Address == q.address && (q.group == "" || s.Group == q.group) && (q.service == "" || s.Service == q.service)
}

// memberList returns the members and the shape of the engine's group, or an empty list if the view has no such group. A
// rank whose registration is missing stays a member during its grace, unless another engine has its place.
func memberList(v *routing.View, query memberQuery, now clock.Time) (r engine.MemberList) {
	if v.Config == nil {
		return r
	}
	hasMaps := func(s *routing.Server) bool { return v.Config.Services[s.Service].Engine.LayerSets > 0 }
	var own *routing.Server
	for _, s := range v.Servers {
		if !query.matches(s) || !isMember(v, s, now) {
			continue
		}
		if own == nil || (hasMaps(s) && !hasMaps(own)) || (hasMaps(s) == hasMaps(own) && hasPlaceOf(v, s, own, now)) {
			own = s
		}
	}
	if own == nil {
		return r
	}
	config := v.Config.Services[own.Service].Engine
	r.Shape = engine.Shape{
		Sets: config.LayerSets, Experts: config.ExpertsPerSet, SlotsPerRank: config.SlotsPerRank, MaxAdded: config.MaxAdded,
		ExpertMB: config.ExpertMB, LinkMbps: config.LinkMbps,
	}
	members := make(map[int][]*routing.Server) // by rank
	for _, s := range v.Servers {
		if s.Group == own.Group && s.Service == own.Service && isMember(v, s, now) {
			members[s.Rank] = append(members[s.Rank], s)
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(members)) {
		for _, s := range candidates(v, members[rank], now) {
			if host, _, err := net.SplitHostPort(s.Address); err == nil {
				r.Members = append(r.Members, engine.Member{Rank: s.Rank, IP: host, Engine: s.Address})
			}
		}
	}
	return r
}

// candidates returns the engines that may be the rank for which all of them are registered, the most probable one last: the
// one that answered lately alone, or some of them. Those that are left out are in another list.
func candidates(v *routing.View, registered []*routing.Server, now clock.Time) []*routing.Server {
	rand.Shuffle(len(registered), func(i, j int) { registered[i], registered[j] = registered[j], registered[i] })
	best := 0
	for i, s := range registered {
		if hasPlaceOf(v, s, registered[best], now) {
			best = i
		}
	}
	if v.Owners.Proved(registered[best], now) || isGone(registered, registered[best]) {
		return registered[best : best+1]
	}
	last := len(registered) - 1
	registered[best], registered[last] = registered[last], registered[best]
	return registered[max(0, len(registered)-engine.MaxCandidates):]
}

// isGone reports whether all engines but one are in their grace.
func isGone(registered []*routing.Server, one *routing.Server) bool {
	return !slices.ContainsFunc(registered, func(s *routing.Server) bool { return s != one && s.ExpiresAt == 0 })
}

// isMember reports whether s may be a rank of a group: an engine whose address another backend server has is none.
func isMember(v *routing.View, s *routing.Server, now clock.Time) bool {
	return s.Group != "" && (s.ExpiresAt == 0 || now < s.ExpiresAt) && v.Contested[s.ID] != routing.Closed
}

// hasPlaceOf reports whether s rather than m has the rank of both: an engine that answered lately rather than one that did
// not, a registered one rather than one in its grace, or the one that started later.
func hasPlaceOf(v *routing.View, s, m *routing.Server, now clock.Time) bool {
	if proved := v.Owners.Proved(s, now); proved != v.Owners.Proved(m, now) {
		return proved
	}
	if (s.ExpiresAt == 0) != (m.ExpiresAt == 0) {
		return s.ExpiresAt == 0
	}
	return s.StartedAt > m.StartedAt
}
