package gateway

import (
	"bytes"

	"github.com/go-kit/log/level"

	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

const (
	overwrittenPercent    = 125                      // of a heartbeat in which a backend server writes again; half as much of the time to drain, as it may have left
	missedHeartbeats      = 3                        // heartbeats of a backend server whose absence ends its registration
	registerAgainTime     = 2 * clock.Second         // after a return of the store, for a live backend server to register again
	defaultHeartbeat      = 1200 * clock.Millisecond // between two heartbeats of a backend server, if the settings don't tell it
	defaultEvacuationTime = 10 * clock.Second        // for an evacuation to take effect, if the settings don't tell it
)

// retentionTimes are how long what is known stays in force while a restored store says otherwise.
type retentionTimes struct {
	server     clock.Span // a backend server is known to drain or to have ended: it ends its registration, or writes it again
	evacuation clock.Span // an evacuation is known that the store lost

	overwritten clock.Span // a backend server answers, and its record is written over: it writes it again with its next heartbeat
}

// newRetentionTimes returns the times for an installation with these settings.
func newRetentionTimes(s Settings) retentionTimes {
	heartbeat, evacuation := s.BackendHeartbeat, s.EvacuationTime
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	if evacuation <= 0 {
		evacuation = defaultEvacuationTime
	}
	overwritten := heartbeat * overwrittenPercent / 100
	if s.DrainTime > 0 {
		overwritten = min(overwritten, s.DrainTime*overwrittenPercent/200)
	}
	return retentionTimes{server: missedHeartbeats*heartbeat + registerAgainTime, evacuation: evacuation, overwritten: overwritten}
}

// retention is a record that stays in force although the store came back from a copy that holds an older one, or none.
// The next change of the key in the store ends it.
type retention struct {
	record Change         // the record in force, or the removal of the key
	over   store.Position // of the store's record, or of the range that lacks the key
	until  clock.Time     // time from which the store is followed; 0 for never
}

// RetainedRecord is a record that a process retains, in the messages between processes.
type RetainedRecord struct {
	Change
	Over      store.Position // of the store's record, or of the range that lacks the key
	Remaining clock.Span     // ms until the store is followed; 0 for never
}

// retain keeps a record in force over that of the store at a position, for a limited time unless limit is 0; mu is held.
func (cs *ClusterState) retain(record Change, over store.Position, limit clock.Span) {
	r := retention{record: record, over: over}
	if limit > 0 {
		r.until = cs.clock.Now().Add(limit)
	}
	cs.retained[record.Key] = r
	era, revision := record.Position.Numbers()
	level.Warn(logAt(cs.logger, over)).Log("msg", "store has an older record than the one in force, keeping the newer", "key", record.Key,
		"keptEra", era, "kept", revision, "removed", record.Removed, "limit", limit)
}

// inForce returns the record of the key that is in force, or its removal; known is false for a key that was never seen.
// mu is held.
func (cs *ClusterState) inForce(key string) (c Change, known bool) {
	if r, retained := cs.retained[key]; retained {
		return r.record, true
	}
	if c, known := cs.records[key]; known {
		return c, true
	}
	removedAt, known := cs.removed[key]
	return Change{Key: key, Position: removedAt, Removed: true}, known
}

// restoreRecords replaces the records by those of a store that came back from a copy: they may be older than the ones in
// force, and what lived on is written again soon. mu is held.
func (cs *ClusterState) restoreRecords(next *routing.View, items []Change, position store.Position, source string) {
	era, revision := cs.position.Numbers()
	level.Warn(logAt(cs.logger, position)).Log("msg", "store came back from a copy", "knownEra", era, "known", revision, "items", len(items), "source", source)
	cs.graceUntil = max(cs.graceUntil, cs.clock.Now().Add(outageGrace))
	present := make(map[string]bool, len(items))
	for _, c := range items {
		present[c.Key] = true
		cs.restoreRecord(next, c, source)
	}
	for key := range cs.records {
		if !present[key] {
			cs.restoreMissing(next, key, position, source)
		}
	}
	for key := range cs.retained {
		if _, listed := cs.records[key]; !listed && !present[key] {
			cs.restoreMissing(next, key, position, source)
		}
	}
}

// restoreRecord applies a record of a restored store, unless the one in force is newer; mu is held.
func (cs *ClusterState) restoreRecord(next *routing.View, c Change, source string) {
	ours, known := cs.inForce(c.Key)
	switch {
	case !known:
		cs.applyChange(next, c, source)
	case !ours.Removed && ours.Fault == nil && c.Fault == nil && bytes.Equal(ours.Value, c.Value):
		delete(cs.retained, c.Key)
		cs.setRecord(c)
	case cs.serverOutdated(next, ours, c):
		cs.setRecord(c)
		cs.retain(ours, c.Position, cs.retentionTimes.server)
	default:
		cs.applyChange(next, c, source)
	}
}

// serverOutdated reports whether a restored registration of a backend server may be older than what is in force, so that
// following it could send requests to a server that drains or has ended. mu is held.
func (cs *ClusterState) serverOutdated(next *routing.View, ours, restored Change) bool {
	update, err := cs.decode(restored)
	if err != nil || update.Server == nil || update.Server.Draining {
		return false
	}
	if known := next.Servers[update.Server.ID]; known != nil && known.StartedAt != update.Server.StartedAt {
		return update.Server.StartedAt < known.StartedAt
	}
	return !restored.Position.NumberedAbove(ours.Position)
}

// restoreMissing handles a key that a restored store lacks; mu is held.
func (cs *ClusterState) restoreMissing(next *routing.View, key string, position store.Position, source string) {
	ours, _ := cs.inForce(key)
	update, err := cs.decode(ours)
	switch {
	case err == nil && !ours.Removed && update.Config != nil:
		cs.deleteRecord(key)
		cs.retain(ours, position, 0)
	case err == nil && !ours.Removed && update.Zone != "":
		cs.deleteRecord(key)
		cs.retain(ours, position, cs.retentionTimes.evacuation)
	default: // a backend server that lives registers again within its grace
		cs.applyChange(next, Change{Key: key, Position: position, Removed: true}, source)
	}
}

// endRetentions follows the store where a record was retained long enough, and reports whether there was any; mu is held.
func (cs *ClusterState) endRetentions(next *routing.View, now clock.Time) (ended bool) {
	for key, r := range cs.retained {
		if r.until == 0 || now < r.until {
			continue
		}
		delete(cs.retained, key)
		ended = true
		c, listed := cs.records[key]
		if !listed {
			c = Change{Key: key, Position: r.over, Removed: true}
		}
		level.Warn(logAt(cs.logger, c.Position)).Log("msg", "record was not written again, following the store", "key", key, "removed", c.Removed)
		cs.applyUpdate(next, c, "store")
	}
	return ended
}

// retainedRecords returns what this process retains, for other processes; mu is held.
func (cs *ClusterState) retainedRecords() (records []RetainedRecord) {
	now := cs.clock.Now()
	for _, r := range cs.retained {
		remaining := clock.Span(0)
		if r.until != 0 {
			remaining = max(r.until.Sub(now), 1)
		}
		records = append(records, RetainedRecord{Change: r.record, Over: r.over, Remaining: remaining})
	}
	return records
}

// adoptRetained retains what another process does, unless what is in force here is newer; mu is held.
func (cs *ClusterState) adoptRetained(records []RetainedRecord, source string) {
	next := cs.copyView()
	changed := false
	for _, r := range records {
		if !cs.mayAdopt(r) {
			continue
		}
		changed = true
		if r.Removed {
			delete(next.Servers, serverID(cs.decode, r.Change))
		} else {
			cs.applyUpdate(next, r.Change, source)
		}
		if r.Remaining == 0 && !cs.isConfig(r.Change) {
			r.Remaining = cs.retentionTimes.server // only a configuration holds for good
		}
		cs.retain(r.Change, r.Over, r.Remaining)
	}
	if changed {
		cs.publish(next)
	}
}

// mayAdopt reports whether a record that another process retains is newer than what is in force here; mu is held.
func (cs *ClusterState) mayAdopt(r RetainedRecord) bool {
	if r.Key == cs.configRecord.Key && bytes.Equal(r.Value, cs.configRecord.Value) {
		return false
	}
	update, err := cs.decode(r.Change)
	if err != nil {
		level.Warn(logAt(cs.logger, r.Position)).Log("msg", "record retained by a peer cannot be decoded, skipping it", "key", r.Key, "error", err)
		return false
	}
	if update.Config != nil {
		config := cs.view.Load().Config
		return config == nil || update.Config.Version > config.Version
	}
	_, retained := cs.retained[r.Key]
	if retained || !r.Over.SameEra(cs.position) || r.Over.After(cs.position) {
		return false
	}
	if here, known := cs.records[r.Key]; known {
		return !here.Position.After(r.Over)
	}
	return !cs.removed[r.Key].After(r.Over)
}

// serverID returns the id of the backend server whose registration a change removes, or an empty string.
func serverID(decode func(Change) (Update, error), c Change) string {
	update, err := decode(c)
	if err != nil {
		return ""
	}
	return update.RemovedServer
}
