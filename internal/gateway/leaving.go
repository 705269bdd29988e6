package gateway

import (
	"maps"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	leavingMemory     = clock.Minute // for which a leaving backend server is told to peers, and remembered once it isn't registered
	maxLeavingReports = 48           // in one heartbeat
	recoveredMemory   = clock.Second // for which peers are told that a backend server takes requests again
)

// leavingServer is the incarnation of a backend server that said in an answer that it leaves.
type leavingServer struct {
	startedAt int64
	since     clock.Time // of the first such answer, or report of one
	heardAt   clock.Time // of the last one
	own       bool       // this entry heard it itself
}

// leavingReport is a leaving backend server, in the messages between entries.
type leavingReport struct {
	ID   string
	Born int64 // start of the incarnation
}

// RecordLeaving records that s said in an answer that it leaves, and reports whether that is news.
func (t *LoadTracker) RecordLeaving(s *routing.Server) (changed bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeLeaving(s.ID, leavingServer{startedAt: s.StartedAt, since: now, heardAt: now, own: true})
}

// mergeLeaving adds what was heard of a server, unless it is of an earlier incarnation than the known one; mu is held.
func (t *LoadTracker) mergeLeaving(id string, l leavingServer) (changed bool) {
	old, known := t.leaving[id]
	if known && old.startedAt > l.startedAt {
		return false
	}
	if known && old.startedAt == l.startedAt {
		l.since, l.own = old.since, old.own || l.own
		changed = l.own != old.own
	}
	t.leaving[id] = l
	return changed || !known || old.startedAt != l.startedAt
}

// MergeLeavingReports adds the leaving servers that a peer heard, and returns those that are news.
func (t *LoadTracker) MergeLeavingReports(reports []leavingReport) (changed []leavingReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if t.mergeLeaving(r.ID, leavingServer{startedAt: r.Born, since: now, heardAt: now}) {
			changed = append(changed, r)
		}
	}
	return changed
}

// LeavingReports returns the leaving servers that this entry heard itself, for a heartbeat.
func (t *LoadTracker) LeavingReports() (reports []leavingReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.leaving {
		if l.own && now.Sub(l.heardAt) <= leavingMemory && len(reports) < maxLeavingReports {
			reports = append(reports, leavingReport{ID: id, Born: l.startedAt})
		}
	}
	return reports
}

// Leaves reports whether this incarnation of the server leaves.
func (t *LoadTracker) Leaves(s *routing.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaves(s)
}

// leaves implements Leaves; mu is held.
func (t *LoadTracker) leaves(s *routing.Server) bool {
	l, known := t.leaving[s.ID]
	return known && l.startedAt == s.StartedAt
}

// mayStillServe reports whether a leaving server may get requests if no other takes them; mu is held. Half of the time in
// which it serves on is left for requests on their way.
func (t *LoadTracker) mayStillServe(s *routing.Server, now clock.Time) bool {
	return now.Sub(t.leaving[s.ID].since) < t.drainTime/2
}

// recoveredReport is a backend server that takes requests again after it had rejected some, in the messages between entries.
type recoveredReport struct {
	ID  string
	Age clock.Span // ms since it took one
}

// RecoveredReports returns the servers that took a request of this entry again lately, for a heartbeat.
func (t *LoadTracker) RecoveredReports() (reports []recoveredReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.recovered, func(_ string, at clock.Time) bool { return now.Sub(at) > recoveredMemory })
	for id, at := range t.recovered {
		if len(reports) < maxLeavingReports {
			reports = append(reports, recoveredReport{ID: id, Age: now.Sub(at)})
		}
	}
	return reports
}

// MergeRecoveredReports lets the servers be tried that took a request of a peer after their last rejection here.
func (t *LoadTracker) MergeRecoveredReports(reports []recoveredReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if load := t.servers[r.ID]; load != nil {
			load.turnAway.Recover(now.Add(-r.Age))
		}
	}
}
