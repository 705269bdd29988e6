package engine

import (
	"maps"
	"slices"

	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

// MaxCandidates is the number of engines that a member list has for one rank. Several are registered as one rank after a restart
// under another id, or if another writer registered some: the agent beside an engine tells its rank.
const MaxCandidates = 4

// setGroup takes over a member list. Of several engines that it lists as one rank the last one is preferred.
func (a *Agent) setGroup(group MemberList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := group.Shape.check(); err != nil {
		level.Warn(a.logger).Log("msg", "member list cannot be used; ignored", "error", err)
		return
	}
	now, size := a.clock.Now(), a.report.GroupSize
	listed := make(map[int][]Member)
	for _, m := range group.Members {
		if m.valid() && (size == 0 || m.Rank < size) && len(listed[m.Rank]) < MaxCandidates && !slices.Contains(listed[m.Rank], m) {
			listed[m.Rank] = append(listed[m.Rank], m)
		}
	}
	if len(listed) == 0 {
		return
	}
	responds := func(rank int) bool {
		c := a.controller
		return c != nil && rank < len(c.receivedAt) && c.receivedAt[rank] > 0 && c.responds(now, rank)
	}
	known := a.group.Members
	group.Members = mergeMembers(known, listed, size, responds)
	if len(group.Members) != len(known) {
		level.Info(a.logger).Log("msg", "group membership changed", "members", len(group.Members), "listed", len(listed), "sets", group.Shape.Sets, "experts", group.Shape.Experts)
	}
	a.group = group
	for rank, members := range listed {
		if len(members) == 1 {
			delete(a.candidates, rank)
			continue
		}
		if len(a.candidates[rank]) < 2 {
			level.Info(a.logger).Log("msg", "several engines are listed as one rank", "rank", rank, "engines", len(members))
		}
		a.candidates[rank] = members
	}
}

// mergeMembers returns one member of each rank, in order of ranks: the last one listed, or the known one if the rank is not
// listed or responds. An entry that doesn't know all engines yet must not hide a rank, and may list an engine that another writer
// registered as the rank. The group has the given size, 0 if unknown.
func mergeMembers(known []Member, listed map[int][]Member, size int, responds func(rank int) bool) (merged []Member) {
	byRank := make(map[int]Member)
	for _, m := range known {
		if size == 0 || m.Rank < size {
			byRank[m.Rank] = m
		}
	}
	for rank, members := range listed {
		if _, isKnown := byRank[rank]; !isKnown || !responds(rank) {
			byRank[rank] = members[len(members)-1]
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		merged = append(merged, byRank[rank])
	}
	return merged
}

// candidatesOf returns the engines that may be the rank of m: m alone if its agent responds; mu is held.
func (a *Agent) candidatesOf(now clock.Time, m Member) []Member {
	candidates := a.candidates[m.Rank]
	if len(candidates) == 0 || a.controller.responds(now, m.Rank) {
		return []Member{m}
	}
	return candidates
}

// confirmMember makes the candidate of the rank for which is holds the member, as it said that it is the rank; mu is held.
func (a *Agent) confirmMember(rank int, is func(Member) bool) {
	i := slices.IndexFunc(a.candidates[rank], is)
	k := slices.IndexFunc(a.group.Members, func(m Member) bool { return m.Rank == rank })
	if i < 0 || k < 0 || a.group.Members[k] == a.candidates[rank][i] {
		return
	}
	level.Info(a.logger).Log("msg", "engine is the rank", "rank", rank, "engine", a.candidates[rank][i].Engine, "before", a.group.Members[k].Engine)
	a.group.Members = slices.Clone(a.group.Members)
	a.group.Members[k] = a.candidates[rank][i]
}

// setOwnMember makes this agent's engine the member of its rank, whatever entries list, and reports whether they list the rank;
// mu is held.
func (a *Agent) setOwnMember(rank int) (listed bool) {
	i := slices.IndexFunc(a.group.Members, func(m Member) bool { return m.Rank == rank })
	if i < 0 {
		return false
	}
	a.group.Members = slices.Clone(a.group.Members)
	a.group.Members[i] = Member{Rank: rank, IP: a.settings.IP, Engine: a.settings.Engine}
	return true
}

// pollMembers polls the other ranks; mu is held.
func (a *Agent) pollMembers(now clock.Time, ownRank int, pollFor func(rank int) poll) {
	for _, m := range a.group.Members {
		if m.Rank == ownRank {
			continue
		}
		for _, candidate := range a.candidatesOf(now, m) {
			p := pollFor(m.Rank)
			a.send(candidate.IP, message{Poll: &p})
		}
	}
}
