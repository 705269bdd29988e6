package gateway

import (
	"github.com/go-kit/log/level"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// RecordAnswer records that s answered a request that was sent at sentAt, so that it is the backend server at its address.
func (cs *ClusterState) RecordAnswer(s *routing.Server, sentAt clock.Time) {
	if before := cs.owners.Prove(s.Address, s.ID, sentAt); before != s.ID && before != "" {
		level.Info(logAt(cs.logger, s.Position)).Log("msg", "backend server replaced", "server", before, "address", s.Address, "by", s.ID)
	}
	view := cs.View()
	if _, contested := view.Contested[s.ID]; contested && view.StandingsChanged(s.Address, cs.clock.Now()) {
		cs.publishStandings()
	}
}

// RecordMisdirected records that a request for s, sent at sentAt, was rejected because the backend server with the id owner is
// at the address; owner is empty if it did not name itself.
func (cs *ClusterState) RecordMisdirected(s *routing.Server, owner string, sentAt clock.Time) {
	cs.owners.Deny(s.Address, s.ID, sentAt)
	if owner != "" {
		cs.owners.Prove(s.Address, owner, sentAt)
	}
	level.Info(logAt(cs.logger, s.Position)).Log("msg", "backend server replaced", "server", s.ID, "address", s.Address, "by", owner)
	cs.publishStandings()
}

// RecordEnded records that the process at the address of s ended.
func (cs *ClusterState) RecordEnded(s *routing.Server) {
	cs.owners.End(s.Address)
	if cs.View().StandingsChanged(s.Address, cs.clock.Now()) {
		cs.publishStandings()
	}
}

// keepOverwritten keeps a registration in force for the time in which a living backend server writes it again, and reports
// whether it does: another writer wrote over its record with c, while s answers at its address. mu is held.
func (cs *ClusterState) keepOverwritten(next *routing.View, s *routing.Server, c Change, source string) bool {
	now := cs.clock.Now()
	_, kept := cs.overwritten[s.ID]
	if !kept && (s.Draining || s.ExpiresAt != 0 || !cs.owners.Proved(s, now)) {
		return false
	}
	cs.overwritten[s.ID] = c
	if !kept {
		current := *s
		current.ExpiresAt = now.Add(cs.retentionTimes.overwritten)
		next.Servers[s.ID] = &current
	}
	cs.limitedLogger.Log("overwritten", "msg", "registration of a backend server that answers was written over, keeping it", "server", s.ID,
		"address", s.Address, "limit", cs.retentionTimes.overwritten, "source", source)
	return true
}

// endOverwrite applies the record that was written over the expired registration of a backend server, if there is one; mu is
// held.
func (cs *ClusterState) endOverwrite(next *routing.View, id string) {
	if c, overwritten := cs.overwritten[id]; overwritten {
		delete(cs.overwritten, id)
		cs.applyUpdate(next, c, "store")
	}
}

// publishStandings publishes the view with the present standings of the registrations.
func (cs *ClusterState) publishStandings() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.publish(cs.copyView())
}

// logContested logs the registrations that are closed to requests because another backend server is at their address, and
// those that name the address of another one, when their standing changes; mu is held.
func (cs *ClusterState) logContested(old, next *routing.View) {
	for id, standing := range next.Contested {
		before, known := old.Contested[id]
		if known && before == standing {
			continue
		}
		s := next.Servers[id]
		cs.limitedLogger.Log("contested", "msg", "registrations name one address", "server", id, "service", s.Service, "address", s.Address,
			"standing", standing.String(), "born", s.StartedAt)
	}
}

// recordOwner records which backend server is at the address of s, as an answer to a request for s tells.
func (e *Entry) recordOwner(c *call, s *routing.Server, x *exchange, sentAt clock.Time) {
	h := x.headers
	switch {
	case x.response == nil || h.RequestID != c.ID:
	case h.Misdirected && h.ServerID == s.ID && !c.ExpectsVersion:
		e.state.RecordAnswer(s, sentAt)
		e.recordRejection(s)
	case h.ServerID == s.ID, !h.Misdirected && h.Sealed: // a 421 of s itself is about the version
		e.state.RecordAnswer(s, sentAt)
	case h.Misdirected && (h.ServerID != "" || !c.ExpectsVersion):
		e.state.RecordMisdirected(s, h.ServerID, sentAt)
	}
}

// isTakenForServer reports whether another entry sent the request, since a registration names this entry's address.
func (e *Entry) isTakenForServer(view *routing.View, c *call) bool {
	s := view.Servers[c.ExpectedServer]
	return s != nil && s.Address == e.settings.Load().Front
}
