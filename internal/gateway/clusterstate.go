package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	// removalGrace is how long a backend server stays in use after its registration disappears without a drain notice: a
	// registration may expire while its owner is alive. It must stay well below the time within which a draining backend
	// server must stop receiving work.
	removalGrace = 500 * clock.Millisecond
	// outageGrace replaces removalGrace after a store outage, while live backend servers register again.
	outageGrace = 2500 * clock.Millisecond
	// maxRemovals is the maximum number of removals that are kept for other processes. The next removal drops them, and
	// processes with a lower revision then receive all records.
	maxRemovals = 2000
)

// ClusterState is a process's local copy of the configuration and the registered backend servers.
//
// It applies changes in the order of store revisions and never replaces a configuration by an older version.
type ClusterState struct {
	decode   func(Change) (Update, error)
	clock    clock.Clock
	logger   log.Logger
	onUpdate func(*routing.View)

	mu              sync.Mutex
	records         map[string]Change
	removed         map[string]int64 // revision at which each removed record was removed, by key
	historyStart    int64            // removals up to this revision may be missing from removed
	revision        int64
	changedRevision int64      // revision of the last update that changed the state
	graceUntil      clock.Time // servers whose registrations disappear before this time without a drain notice stay in use until then
	view            atomic.Pointer[routing.View]
}

// NewClusterState returns an empty cluster state that calls onUpdate with each new view.
func NewClusterState(decode func(Change) (Update, error), c clock.Clock, logger log.Logger, onUpdate func(*routing.View)) *ClusterState {
	cs := &ClusterState{decode: decode, clock: c, logger: logger, onUpdate: onUpdate, records: make(map[string]Change), removed: make(map[string]int64)}
	cs.view.Store(&routing.View{})
	return cs
}

// View returns the current view.
func (cs *ClusterState) View() *routing.View {
	return cs.view.Load()
}

// Revision returns the store revision up to which changes have been applied.
func (cs *ClusterState) Revision() int64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.revision
}

// ChangedRevision returns the revision that another process must have reached to have the same state.
func (cs *ClusterState) ChangedRevision() int64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.changedRevision
}

// ChangesSince returns the changes after revision, oldest first, or all records if the changes are no longer kept.
func (cs *ClusterState) ChangesSince(revision int64) (d Delta) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	d = Delta{Revision: cs.revision, Whole: revision < cs.historyStart, Lapse: max(cs.graceUntil.Sub(cs.clock.Now()), 0)}
	for _, c := range cs.records {
		if d.Whole || c.Revision > revision {
			d.Changes = append(d.Changes, c)
		}
	}
	for key, removedAt := range cs.removed {
		if !d.Whole && removedAt > revision {
			d.Changes = append(d.Changes, Change{Key: key, Revision: removedAt, Removed: true})
		}
	}
	slices.SortFunc(d.Changes, func(x, y Change) int { return cmp.Compare(x.Revision, y.Revision) })
	return d
}

// Delta is the part of another process's cluster state that is newer than a given revision.
type Delta struct {
	Revision int64
	Whole    bool       // Changes contains all records and replaces the receiver's state
	Lapse    clock.Span // ms left until the sender's graceUntil, 0 if it has passed
	Changes  []Change
}

// ApplyDelta applies the newer state of another process; source names it in log lines.
func (cs *ClusterState) ApplyDelta(d Delta, source string) {
	cs.mu.Lock()
	cs.graceUntil = max(cs.graceUntil, cs.clock.Now().Add(d.Lapse))
	cs.mu.Unlock()
	if d.Whole {
		cs.Replace(d.Changes, d.Revision, source)
		return
	}
	cs.Apply(d.Changes, d.Revision, source)
}

// StartOutageGrace starts the longer grace for missing registrations; call it when the store answers after an outage.
func (cs *ClusterState) StartOutageGrace() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.graceUntil = cs.clock.Now().Add(outageGrace)
}

// Apply applies the changes up to revision.
func (cs *ClusterState) Apply(changes []Change, revision int64, source string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	next := cs.copyView()
	changed := false
	for _, c := range changes {
		if old, known := cs.records[c.Key]; c.Revision <= cs.revision || (known && c.Revision <= old.Revision) {
			level.Info(cs.logger).Log("msg", "change is not newer than the state, dropping it", "key", c.Key, "revision", c.Revision,
				"known", cs.revision, "source", source)
			continue
		}
		cs.applyChange(next, c, source)
		changed = true
	}
	cs.revision = max(cs.revision, revision)
	if changed {
		cs.changedRevision = cs.revision
		cs.publish(next)
	}
}

// Replace replaces the state by all records as of revision; records that are missing from items count as removed.
func (cs *ClusterState) Replace(items []Change, revision int64, source string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if revision < cs.revision {
		level.Warn(cs.logger).Log("msg", "records are older than the state, dropping them", "items", len(items), "revision", revision,
			"known", cs.revision, "source", source)
		return
	}
	next := cs.copyView()
	present := make(map[string]bool, len(items))
	for _, c := range items {
		present[c.Key] = true
		if old, known := cs.records[c.Key]; known && c.Revision <= old.Revision {
			continue
		}
		cs.applyChange(next, c, source)
	}
	for key, old := range cs.records {
		if !present[key] && old.Revision <= revision {
			cs.applyChange(next, Change{Key: key, Revision: revision, Removed: true}, source)
		}
	}
	cs.revision, cs.changedRevision, cs.historyStart = revision, revision, revision
	cs.publish(next)
}

// MarkReplaced takes s out of use until its registration changes, because another backend server answers at its address.
func (cs *ClusterState) MarkReplaced(s *routing.Server, replacement string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	next := cs.copyView()
	current := next.Servers[s.ID]
	if current == nil || current.Revision != s.Revision || current.ExpiresAt != 0 {
		return
	}
	removed := *current
	removed.ExpiresAt = cs.clock.Now()
	next.Servers[s.ID] = &removed
	level.Info(cs.logger).Log("msg", "backend server replaced", "server", s.ID, "address", s.Address, "by", replacement, "revision", s.Revision)
	cs.publish(next)
}

// RemoveExpired removes the backend servers whose grace has ended and publishes a new view if there are any.
func (cs *ClusterState) RemoveExpired() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := cs.clock.Now()
	next := cs.copyView()
	changed := false
	for id, s := range next.Servers {
		if s.ExpiresAt != 0 && now >= s.ExpiresAt {
			delete(next.Servers, id)
			changed = true
			level.Info(cs.logger).Log("msg", "backend server forgotten", "server", id, "revision", cs.revision)
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
	}
}

func cloneOrNew[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (cs *ClusterState) publish(next *routing.View) {
	next.Revision = cs.revision
	next.IndexServers(cs.clock.Now())
	cs.view.Store(next)
	if cs.onUpdate != nil {
		cs.onUpdate(next)
	}
}

// applyChange applies one change to next; mu is held.
func (cs *ClusterState) applyChange(next *routing.View, c Change, source string) {
	if c.Removed {
		delete(cs.records, c.Key)
		cs.recordRemoval(c)
	} else {
		cs.records[c.Key] = c
		delete(cs.removed, c.Key)
	}
	update, err := cs.decode(c)
	if err != nil {
		level.Warn(cs.logger).Log("msg", "store record cannot be decoded, skipping it", "key", c.Key, "revision", c.Revision, "source", source, "error", err)
	}
	switch {
	case update.Config != nil:
		cs.setConfig(next, update.Config, c, source)
	case update.Server != nil:
		cs.setServer(next, update.Server, c, source)
	case update.RemovedServer != "":
		cs.markRemoved(next, update.RemovedServer, c, source)
	case update.Zone != "":
		level.Info(cs.logger).Log("msg", "evacuation", "zone", update.Zone, "ends", update.EvacuationEnded, "revision", c.Revision, "source", source)
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
		cs.historyStart = c.Revision
	}
	cs.removed[c.Key] = c.Revision
}

func (cs *ClusterState) setConfig(next *routing.View, config *routing.Config, c Change, source string) {
	if next.Config != nil && config.Version <= next.Config.Version {
		level.Warn(cs.logger).Log("msg", "configuration is not newer than the current one, ignoring it", "version", config.Version, "known", next.Config.Version, "source", source)
		return
	}
	next.Config = config
	level.Info(cs.logger).Log("msg", "configuration in force", "version", config.Version, "revision", c.Revision, "source", source,
		"routes", len(config.Routes), "services", len(config.Services), "keys", len(config.TeamsByKey))
}

func (cs *ClusterState) setServer(next *routing.View, s *routing.Server, c Change, source string) {
	s.Revision = c.Revision
	if s.ColdUntil > 0 {
		s.ColdUntil = cs.clock.Now().Add(clock.Span(s.ColdUntil)) // decoded as the remaining ms
	}
	next.Servers[s.ID] = s
	level.Info(cs.logger).Log("msg", "backend server", "server", s.ID, "service", s.Service, "zone", s.Zone, "address", s.Address,
		"leaving", s.Draining, "slots", s.Slots, "cold", s.ColdUntil > 0, "revision", c.Revision, "source", source)
}

func (cs *ClusterState) markRemoved(next *routing.View, id string, c Change, source string) {
	s := next.Servers[id]
	if s == nil {
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
	next.Servers[id] = &removed
	level.Info(cs.logger).Log("msg", "backend server's entry is gone", "server", id, "leaving", s.Draining,
		"grace", removed.ExpiresAt.Sub(now), "revision", c.Revision, "source", source)
}
