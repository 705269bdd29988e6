package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	// removalGrace is how long a backend server stays in use after its registration disappears without a drain notice: a
	// registration may expire while its owner is alive. It must stay well below the time within which a draining backend
	// server must stop receiving work.
	removalGrace = 500 * clock.Millisecond
	// outageGrace replaces removalGrace after an outage of the store, while live backend servers register again.
	outageGrace = 2500 * clock.Millisecond
	// maxRemovals is the maximum number of removals that are kept for other processes. The next removal drops them, and
	// processes with a lower revision then receive all records.
	maxRemovals = 2000
	// recordMemoryDivisor divides the instance's memory: limit of all records, of which a registration of today has 400 bytes.
	recordMemoryDivisor = 16
)

// ClusterState is a process's local copy of the configuration and the registered backend servers.
//
// It applies changes in the order of their positions in the store and never replaces a configuration by an older version.
// Records that a restored store lost stay in force for a while, see retained.
type ClusterState struct {
	decode   func(Change) (Update, error)
	clock    clock.Clock
	logger   log.Logger
	onUpdate func(*routing.View)
	owners   *routing.Owners

	limitedLogger *telemetry.RateLimitedLogger // for what another writer of the store can cause as often as it likes

	retentionTimes retentionTimes
	maxRecordBytes int64 // of records beside the configuration; 0 for no limit

	mu              sync.Mutex
	records         map[string]Change         // what the store holds, by key
	recordBytes     int64                     // of these
	unusable        map[string]string         // records that can't be decoded, by key, with the reason
	retained        map[string]retention      // records in force that the store does not hold, by key
	overwritten     map[string]Change         // by id of a server that answers: the record that takes effect when the one before expires
	removed         map[string]store.Position // position at which each removed record was removed, by key
	historyStart    store.Position            // removals up to this position may be missing from removed
	position        store.Position            // up to which changes have been applied
	changedPosition store.Position            // of the last update that changed the state
	configRecord    Change                    // record of the configuration in force
	eraAt           clock.Time                // when the era of position last changed
	positionAt      clock.Time                // when position last changed
	configAt        clock.Time                // when the configuration in force last changed
	confirmedAt     clock.Time                // the state has all that the store held then
	confirmed       confirmation              // that told confirmedAt
	origin          uint64                    // of the confirmations of this process
	ownNumber       uint64                    // of the last of them
	adopted         map[uint64]uint64         // number of the last confirmation that was adopted from each origin
	graceUntil      clock.Time                // servers whose registrations disappear before this time without a drain notice stay in use until then
	view            atomic.Pointer[routing.View]
}

// NewClusterState returns an empty cluster state that calls onUpdate with each new view.
func NewClusterState(s Settings, decode func(Change) (Update, error), c clock.Clock, logger log.Logger, onUpdate func(*routing.View)) *ClusterState {
	cs := &ClusterState{
		decode: decode, clock: c, logger: logger, onUpdate: onUpdate, retentionTimes: newRetentionTimes(s),
		maxRecordBytes: s.Memory / recordMemoryDivisor, owners: routing.NewOwners(newRetentionTimes(s).server),
		records: make(map[string]Change), unusable: make(map[string]string), retained: make(map[string]retention),
		overwritten: make(map[string]Change), removed: make(map[string]store.Position),
		origin: rand.Uint64() | 1, adopted: make(map[uint64]uint64),
	}
	cs.limitedLogger = &telemetry.RateLimitedLogger{Logger: logger, Clock: c, RoutineKinds: map[string]bool{"undecodable": true, "contested": true, "overwritten": true}}
	cs.view.Store(&routing.View{})
	return cs
}

// View returns the current view.
func (cs *ClusterState) View() *routing.View {
	return cs.view.Load()
}

// Position returns the position in the store up to which changes have been applied.
func (cs *ClusterState) Position() store.Position {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.position
}

// ConfigVersion returns the version of the configuration in force, 0 if none is known.
func (cs *ClusterState) ConfigVersion() int64 {
	if config := cs.View().Config; config != nil {
		return config.Version
	}
	return 0
}

// ChangedPosition returns the position that another process must have reached to have the same state.
func (cs *ClusterState) ChangedPosition() store.Position {
	changed, _ := cs.Confirmation()
	return changed
}

// Apply applies the changes up to position. It drops changes of another era and reports whether they were of this one.
func (cs *ClusterState) Apply(changes []Change, position store.Position, source string) (applied bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !position.SameEra(cs.position) {
		cs.logDropped("changes are of another era than the state, dropping them", len(changes), position, source)
		return false
	}
	if position == cs.position {
		return true // two calls were answered at the same time
	}
	next := cs.copyView()
	changed := false
	for _, c := range changes {
		if old, known := cs.records[c.Key]; !c.Position.After(cs.position) || (known && !c.Position.After(old.Position)) {
			cs.logDropped("change is not newer than the state, dropping it", 1, c.Position, source, "key", c.Key)
			continue
		}
		cs.applyChange(next, c, source)
		changed = true
	}
	if position.After(cs.position) {
		cs.setPosition(position)
	}
	if changed {
		cs.changedPosition = cs.position
		cs.publish(next)
	}
	return true
}

// Replace replaces the state by all records as of position; records that are missing from items count as removed. It drops
// records that are older than the state and reports whether it applied them.
func (cs *ClusterState) Replace(items []Change, position store.Position, source string) (applied bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.position.After(position) {
		cs.logDropped("records are older than the state, dropping them", len(items), position, source)
		return false
	}
	next := cs.copyView()
	if position.SameEra(cs.position) || cs.position.IsZero() {
		cs.replaceRecords(next, items, position, source)
	} else {
		cs.restoreRecords(next, items, position, source)
	}
	cs.setPosition(position)
	cs.changedPosition, cs.historyStart = position, position
	cs.publish(next)
	return true
}

// setPosition sets the position; mu is held.
func (cs *ClusterState) setPosition(position store.Position) {
	now := cs.clock.Now()
	if !position.SameEra(cs.position) {
		cs.eraAt = now
	}
	if position != cs.position {
		cs.positionAt = now
	}
	cs.position = position
}

// replaceRecords replaces the records by those of a later position in the same era; mu is held.
func (cs *ClusterState) replaceRecords(next *routing.View, items []Change, position store.Position, source string) {
	present := make(map[string]bool, len(items))
	for _, c := range items {
		present[c.Key] = true
		if old, known := cs.records[c.Key]; known && !c.Position.After(old.Position) {
			continue
		}
		cs.applyChange(next, c, source)
	}
	for key, old := range cs.records {
		if !present[key] && !old.Position.After(position) {
			cs.applyChange(next, Change{Key: key, Position: position, Removed: true}, source)
		}
	}
}

// RemoveExpired removes the backend servers whose grace has ended, follows the store where a record was retained long
// enough, lets registrations be tried again, and publishes a new view if there are any.
func (cs *ClusterState) RemoveExpired() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := cs.clock.Now()
	next := cs.copyView()
	changed := cs.endRetentions(next, now) || cs.view.Load().StandingsChanged("", now)
	for id, s := range next.Servers {
		if s.ExpiresAt != 0 && now >= s.ExpiresAt {
			delete(next.Servers, id)
			changed = true
			cs.endOverwrite(next, id)
			level.Info(logAt(cs.logger, cs.position)).Log("msg", "backend server forgotten", "server", id)
		}
	}
	if changed {
		cs.publish(next)
	}
}

func (cs *ClusterState) copyView() *routing.View {
	old := cs.view.Load()
	return &routing.View{
		Config:         old.Config,
		Servers:        cloneOrNew(old.Servers),
		EvacuatedZones: cloneOrNew(old.EvacuatedZones),
		Owners:         cs.owners,
	}
}

func cloneOrNew[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (cs *ClusterState) publish(next *routing.View) {
	next.Position = cs.position
	next.IndexServers(cs.clock.Now())
	cs.logContested(cs.view.Load(), next)
	cs.view.Store(next)
	if cs.onUpdate != nil {
		cs.onUpdate(next)
	}
}

// applyChange applies one change of the store to the records and to next; mu is held.
func (cs *ClusterState) applyChange(next *routing.View, c Change, source string) {
	delete(cs.retained, c.Key)
	if c.Removed {
		cs.deleteRecord(c.Key)
		delete(cs.unusable, c.Key)
		cs.recordRemoval(c)
	} else {
		c = cs.setRecord(c)
		delete(cs.removed, c.Key)
	}
	cs.applyUpdate(next, c, source)
}

// setRecord keeps a record of the store and returns it. It keeps no value for which there is no memory; known records may use
// twice as much as new ones, so that those of living backend servers stay. mu is held.
func (cs *ClusterState) setRecord(c Change) Change {
	limit := cs.maxRecordBytes
	if old, known := cs.records[c.Key]; known && len(old.Value) > 0 {
		limit *= 2
	}
	cs.deleteRecord(c.Key)
	if limit > 0 && cs.recordBytes+recordSize(c) > limit && !cs.isConfig(c) {
		c.Value, c.Fault = nil, errors.Newf("records use %d bytes and may use %d", cs.recordBytes, limit)
	}
	cs.records[c.Key] = c
	cs.recordBytes += recordSize(c)
	return c
}

// isConfig reports whether the record is a configuration.
func (cs *ClusterState) isConfig(c Change) bool {
	update, err := cs.decode(c)
	return err == nil && update.Config != nil
}

// deleteRecord deletes a record of the store; mu is held.
func (cs *ClusterState) deleteRecord(key string) {
	if old, known := cs.records[key]; known {
		cs.recordBytes -= recordSize(old)
		delete(cs.records, key)
	}
}

func recordSize(c Change) int64 {
	return int64(len(c.Key) + len(c.Value))
}

// applyUpdate applies the content of a change to next; mu is held.
func (cs *ClusterState) applyUpdate(next *routing.View, c Change, source string) {
	update, err := cs.decode(c)
	reason := cs.unusable[c.Key]
	delete(cs.unusable, c.Key)
	if err != nil {
		cs.unusable[c.Key] = err.Error()
	}
	if err != nil && err.Error() != reason {
		cs.logRecord("undecodable", c, "level", level.WarnValue(), "msg", "store record cannot be decoded, skipping it", "key", c.Key, "source", source, "error", err)
	}
	switch {
	case update.Config != nil:
		cs.setConfig(next, update.Config, c, source)
	case update.Server != nil:
		cs.setServer(next, update.Server, c, source)
	case update.RemovedServer != "":
		cs.markRemoved(next, update.RemovedServer, c, source)
	case update.Zone != "":
		level.Info(logAt(cs.logger, c.Position)).Log("msg", "evacuation", "zone", update.Zone, "ends", update.EvacuationEnded, "source", source)
		if update.EvacuationEnded {
			delete(next.EvacuatedZones, update.Zone)
		} else {
			next.EvacuatedZones[update.Zone] = true
		}
	}
}

// recordRemoval keeps a removal for other processes; mu is held.
func (cs *ClusterState) recordRemoval(c Change) {
	if len(cs.removed) >= maxRemovals {
		clear(cs.removed)
		cs.historyStart = c.Position
	}
	cs.removed[c.Key] = c.Position
}

// setConfig puts a configuration in force unless a later version is; mu is held.
func (cs *ClusterState) setConfig(next *routing.View, config *routing.Config, c Change, source string) {
	if next.Config != nil && config.Version < next.Config.Version {
		level.Warn(logAt(cs.logger, c.Position)).Log("msg", "configuration is not newer than the current one, ignoring it",
			"version", config.Version, "known", next.Config.Version, "source", source)
		cs.retain(cs.configRecord, c.Position, 0)
		return
	}
	if next.Config != nil && config.Version == next.Config.Version {
		level.Info(logAt(cs.logger, c.Position)).Log("msg", "configuration was written again", "version", config.Version, "source", source)
		return
	}
	next.Config, cs.configRecord, cs.configAt = config, c, cs.clock.Now()
	level.Info(logAt(cs.logger, c.Position)).Log("msg", "configuration in force", "version", config.Version, "source", source,
		"routes", len(config.Routes), "services", len(config.Services), "keys", len(config.TeamsByKey))
}

func (cs *ClusterState) setServer(next *routing.View, s *routing.Server, c Change, source string) {
	old := next.Servers[s.ID]
	if old != nil && !samePlace(old, s) && cs.keepOverwritten(next, old, c, source) {
		return
	}
	delete(cs.overwritten, s.ID)
	s.Position, s.SeenAt = c.Position, cs.clock.Now()
	if old != nil && s.StartedAt != 0 && old.StartedAt == s.StartedAt && old.Address == s.Address && old.Service == s.Service {
		s.SeenAt = old.SeenAt
	}
	if s.ColdUntil > 0 {
		s.ColdUntil = cs.clock.Now().Add(clock.Span(s.ColdUntil)) // decoded as the remaining ms
	}
	next.Servers[s.ID] = s
	if old != nil && sameRegistration(old, s) {
		return
	}
	cs.logRecord("server", c, "level", level.InfoValue(), "msg", "backend server", "server", s.ID, "service", s.Service, "zone", s.Zone, "address", s.Address,
		"leaving", s.Draining, "slots", s.Slots, "cold", s.ColdUntil > 0, "source", source)
}

// samePlace reports whether two registrations of one id may be of one process.
func samePlace(before, s *routing.Server) bool {
	return before.Address == s.Address && before.Service == s.Service && before.Zone == s.Zone && before.Group == s.Group && before.Rank == s.Rank
}

// sameRegistration reports whether a registration that is in the store says what the one before said.
func sameRegistration(before, s *routing.Server) bool {
	o := *s
	o.Position, o.SeenAt, o.ColdUntil = before.Position, before.SeenAt, before.ColdUntil
	return o == *before && (s.ColdUntil > 0) == (before.ColdUntil > 0)
}

func (cs *ClusterState) markRemoved(next *routing.View, id string, c Change, source string) {
	s := next.Servers[id]
	if s == nil {
		return
	}
	if !c.Removed && cs.keepOverwritten(next, s, c, source) {
		return
	}
	now := cs.clock.Now()
	removed := *s
	switch {
	case s.Draining || !c.Removed:
		removed.ExpiresAt = now
	case now < cs.graceUntil:
		removed.ExpiresAt = cs.graceUntil
	default:
		removed.ExpiresAt = now.Add(removalGrace)
	}
	delete(cs.overwritten, id)
	if s.ExpiresAt != 0 {
		removed.ExpiresAt = min(removed.ExpiresAt, s.ExpiresAt)
	}
	next.Servers[id] = &removed
	cs.logRecord("gone", c, "level", level.InfoValue(), "msg", "backend server's entry is gone", "server", id, "leaving", s.Draining,
		"grace", removed.ExpiresAt.Sub(now), "source", source)
}
