package gateway

import (
	"maps"
	"net"
	"slices"

	"carawaypick/internal/engine"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// memberList returns the members and the shape of the engine's group, or an empty list if the view has no such group. A
// rank whose registration is missing stays a member during its grace, unless another engine has its place.
func memberList(v *routing.View, address string, now clock.Time) (r engine.MemberList) {
	var own *routing.Server
	for _, s := range v.Servers {
		if s.Address == address && isMember(v, s, now) && (own == nil || hasPlaceOf(v, s, own, now)) {
			own = s
		}
	}
	if own == nil || v.Config == nil {
		return r
	}
	config := v.Config.Services[own.Service].Engine
	r.Shape = engine.Shape{
		Sets: config.LayerSets, Experts: config.ExpertsPerSet, SlotsPerRank: config.SlotsPerRank, MaxAdded: config.MaxAdded,
		ExpertMB: config.ExpertMB, LinkMbps: config.LinkMbps,
	}
	members := make(map[int]*routing.Server) // by rank
	for _, s := range v.Servers {
		if s.Group != own.Group || s.Service != own.Service || !isMember(v, s, now) {
			continue
		}
		if m := members[s.Rank]; m == nil || hasPlaceOf(v, s, m, now) {
			members[s.Rank] = s
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(members)) {
		s := members[rank]
		if host, _, err := net.SplitHostPort(s.Address); err == nil {
			r.Members = append(r.Members, engine.Member{Rank: s.Rank, IP: host, Engine: s.Address})
		}
	}
	return r
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
