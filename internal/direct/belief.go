package direct

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
	// goneGrace is how long a backend server is used on after its entry vanished without notice: an entry may lapse
	// while its owner lives. It stays well below the bound within which a leaving one must get no more work.
	goneGrace = 500 * clock.Millisecond
	// lapseGrace is the same time after an outage of the store, in which living owners register again.
	lapseGrace = 2500 * clock.Millisecond
	// mostRemoved bounds the removed entries that are remembered for other processes.
	mostRemoved = 2000
)

// Belief holds what a process believes of the configuration and the backend servers.
//
// Changes are applied in the order of the store's revision; a configuration never goes back.
type Belief struct {
	decode func(Change) (News, error)
	clock  clock.Clock
	logger log.Logger
	hear   func(*routing.View)

	mu       sync.Mutex
	items    map[string]Change
	removed  map[string]int64 // revision at which an entry was known to be gone
	since    int64            // removals up to this revision may be forgotten
	revision int64
	changed  int64      // revision up to which something is known that was not known before
	lapse    clock.Time // up to this moment a missing entry may only have lapsed
	view     atomic.Pointer[routing.View]
}

// NewBelief returns a belief that knows nothing; hear is told of each new view.
func NewBelief(decode func(Change) (News, error), c clock.Clock, logger log.Logger, hear func(*routing.View)) *Belief {
	b := &Belief{decode: decode, clock: c, logger: logger, hear: hear, items: make(map[string]Change), removed: make(map[string]int64)}
	b.view.Store(&routing.View{})
	return b
}

// View returns what is believed now.
func (b *Belief) View() *routing.View {
	return b.view.Load()
}

// Revision returns the store's revision up to which changes are known.
func (b *Belief) Revision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}

// Changed returns the revision up to which a process must have read to know what this one knows.
func (b *Belief) Changed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Since returns what changed after the revision, oldest first, or all entries where that is no longer known.
func (b *Belief) Since(revision int64) (d Delta) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d = Delta{Revision: b.revision, Whole: revision < b.since, Lapse: max(b.lapse.Sub(b.clock.Now()), 0)}
	for _, c := range b.items {
		if d.Whole || c.Revision > revision {
			d.Changes = append(d.Changes, c)
		}
	}
	for key, gone := range b.removed {
		if !d.Whole && gone > revision {
			d.Changes = append(d.Changes, Change{Key: key, Revision: gone, Removed: true})
		}
	}
	slices.SortFunc(d.Changes, func(x, y Change) int { return cmp.Compare(x.Revision, y.Revision) })
	return d
}

// Delta is what another process's belief holds beyond one revision.
type Delta struct {
	Revision int64
	Whole    bool       // Changes are all entries
	Lapse    clock.Span // time in ms for which a missing entry may only have lapsed
	Changes  []Change
}

// Learn takes in what another process knows more.
func (b *Belief) Learn(d Delta, source string) {
	b.mu.Lock()
	b.lapse = max(b.lapse, b.clock.Now().Add(d.Lapse))
	b.mu.Unlock()
	if d.Whole {
		b.Replace(d.Changes, d.Revision, source)
		return
	}
	b.Apply(d.Changes, d.Revision, source)
}

// Back tells that the store answers again after an outage.
func (b *Belief) Back() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse = b.clock.Now().Add(lapseGrace)
}

// Apply takes in changes up to the revision.
func (b *Belief) Apply(changes []Change, revision int64, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.next()
	changed := false
	for _, c := range changes {
		if old, known := b.items[c.Key]; c.Revision <= b.revision || (known && c.Revision <= old.Revision) {
			continue
		}
		b.take(next, c, source)
		changed = true
	}
	b.revision = max(b.revision, revision)
	if changed {
		b.changed = b.revision
		b.publish(next)
	}
}

// Replace takes in all entries as of the revision; what is missing from them is gone.
func (b *Belief) Replace(items []Change, revision int64, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision < b.revision {
		return
	}
	next := b.next()
	here := make(map[string]bool, len(items))
	for _, c := range items {
		here[c.Key] = true
		if old, known := b.items[c.Key]; known && c.Revision <= old.Revision {
			continue
		}
		b.take(next, c, source)
	}
	for key, old := range b.items {
		if !here[key] && old.Revision <= revision {
			b.take(next, Change{Key: key, Revision: revision, Removed: true}, source)
		}
	}
	b.revision, b.changed, b.since = revision, revision, revision
	b.publish(next)
}

// Disown takes a backend server out of use whose address another one has answered from, until its entry changes.
func (b *Belief) Disown(s *routing.Server, instead string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.next()
	known := next.Servers[s.ID]
	if known == nil || known.Revision != s.Revision || known.GoneAt != 0 {
		return
	}
	gone := *known
	gone.GoneAt = b.clock.Now()
	next.Servers[s.ID] = &gone
	level.Info(b.logger).Log("msg", "backend server replaced", "server", s.ID, "address", s.Address, "by", instead, "revision", s.Revision)
	b.publish(next)
}

// Sweep publishes a new view where a backend server's grace has ended.
func (b *Belief) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	next := b.next()
	changed := false
	for id, s := range next.Servers {
		if s.GoneAt != 0 && now >= s.GoneAt {
			delete(next.Servers, id)
			changed = true
			level.Info(b.logger).Log("msg", "backend server forgotten", "server", id, "revision", b.revision)
		}
	}
	if changed {
		b.publish(next)
	}
}

func (b *Belief) next() *routing.View {
	old := b.view.Load()
	return &routing.View{
		Table:     old.Table,
		Servers:   cloneOrNew(old.Servers),
		Evacuated: cloneOrNew(old.Evacuated),
	}
}

func cloneOrNew[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (b *Belief) publish(next *routing.View) {
	next.Revision = b.revision
	next.Arrange(b.clock.Now())
	b.view.Store(next)
	if b.hear != nil {
		b.hear(next)
	}
}

// take applies one change to next.
func (b *Belief) take(next *routing.View, c Change, source string) {
	if c.Removed {
		delete(b.items, c.Key)
		b.forget(c)
	} else {
		b.items[c.Key] = c
		delete(b.removed, c.Key)
	}
	news, err := b.decode(c)
	if err != nil {
		level.Warn(b.logger).Log("msg", "entry of the store can't be read", "key", c.Key, "revision", c.Revision, "source", source, "error", err)
	}
	switch {
	case news.Table != nil:
		b.configure(next, news.Table, c, source)
	case news.Server != nil:
		b.register(next, news.Server, c, source)
	case news.Gone != "":
		b.vanish(next, news.Gone, c, source)
	case news.Zone != "":
		level.Info(b.logger).Log("msg", "evacuation", "zone", news.Zone, "ends", news.Ends, "revision", c.Revision, "source", source)
		if news.Ends {
			delete(next.Evacuated, news.Zone)
		} else {
			next.Evacuated[news.Zone] = true
		}
	}
}

// forget notes a removal for other processes; mu is held.
func (b *Belief) forget(c Change) {
	if len(b.removed) >= mostRemoved {
		clear(b.removed)
		b.since = c.Revision
	}
	b.removed[c.Key] = c.Revision
}

func (b *Belief) configure(next *routing.View, t *routing.Table, c Change, source string) {
	if next.Table != nil && t.Version <= next.Table.Version {
		level.Warn(b.logger).Log("msg", "older configuration ignored", "version", t.Version, "known", next.Table.Version, "source", source)
		return
	}
	next.Table = t
	level.Info(b.logger).Log("msg", "configuration in force", "version", t.Version, "revision", c.Revision, "source", source,
		"routes", len(t.Routes), "services", len(t.Services), "keys", len(t.Keys))
}

func (b *Belief) register(next *routing.View, s *routing.Server, c Change, source string) {
	s.Revision = c.Revision
	if s.ColdUntil > 0 {
		s.ColdUntil = b.clock.Now().Add(clock.Span(s.ColdUntil))
	}
	next.Servers[s.ID] = s
	level.Info(b.logger).Log("msg", "backend server", "server", s.ID, "service", s.Service, "zone", s.Zone, "address", s.Address,
		"leaving", s.Leaving, "slots", s.Slots, "cold", s.ColdUntil > 0, "revision", c.Revision, "source", source)
}

func (b *Belief) vanish(next *routing.View, id string, c Change, source string) {
	s := next.Servers[id]
	if s == nil {
		return
	}
	now := b.clock.Now()
	gone := *s
	switch {
	case s.Leaving || !c.Removed:
		gone.GoneAt = now
	case now < b.lapse:
		gone.GoneAt = b.lapse
	default:
		gone.GoneAt = now.Add(goneGrace)
	}
	next.Servers[id] = &gone
	level.Info(b.logger).Log("msg", "backend server's entry is gone", "server", id, "leaving", s.Leaving,
		"grace", gone.GoneAt.Sub(now), "revision", c.Revision, "source", source)
}
