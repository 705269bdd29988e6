package gateway

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// modelStore is a store that comes back from copies.
type modelStore struct {
	era, revision int64
	items         map[string]Change
	history       []Change
	backup        *modelStore
}

func (m *modelStore) copied() *modelStore {
	return &modelStore{era: m.era, revision: m.revision, items: maps.Clone(m.items), history: slices.Clone(m.history)}
}

// restore goes back to the backup, whose records are of the next era.
func (m *modelStore) restore() {
	b := m.backup.copied()
	m.era, m.revision, m.items, m.history = m.era+1, b.revision, b.items, b.history
	for key, c := range m.items {
		m.items[key] = c.at(m.era)
	}
	for i, c := range m.history {
		m.history[i] = c.at(m.era)
	}
}

func (m *modelStore) write(c Change) {
	m.revision++
	c.Position = m.position()
	if c.Removed {
		delete(m.items, c.Key)
	} else {
		m.items[c.Key] = c
	}
	m.history = append(m.history, c)
}

func (m *modelStore) position() store.Position {
	return store.At(m.era, m.revision)
}

// rangeInto returns a function that gives a state the records as of now.
func (m *modelStore) rangeInto() func(*ClusterState) {
	items, position := slices.Collect(maps.Values(m.items)), m.position()
	return func(cs *ClusterState) { cs.Replace(items, position, "store") }
}

// watchInto returns a function that gives a state the answer to a watch from after, or to a range after a 410.
func (m *modelStore) watchInto(after store.Position) func(*ClusterState) {
	_, revision := after.Numbers()
	if revision > m.revision || after.IsZero() {
		return m.rangeInto()
	}
	var changes []Change
	for _, c := range m.history {
		if c.Position.NumberedAbove(after) {
			changes = append(changes, c)
		}
	}
	position, all := m.position(), m.rangeInto()
	return func(cs *ClusterState) {
		if !cs.Apply(changes, position, "store") {
			all(cs)
		}
	}
}

// TestEntriesAgreeAfterRestores guards against entries that differ from the store, or go back to an older configuration,
// whatever the order of changes, restores, late and lost answers, and pulls from peers of this and the earlier release.
func TestEntriesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const earlierRelease = 3 // index of the entry that knows no eras
		now := clock.Time(1)
		m := &modelStore{era: 1, revision: 1, items: make(map[string]Change)}
		m.backup = m.copied()
		var states []*ClusterState
		for range earlierRelease + 1 {
			states = append(states, newTestState(&now))
		}
		versions, written := make([]int64, len(states)), int64(0)
		type answer struct {
			state *ClusterState
			apply func(*ClusterState)
		}
		var late []answer
		pull := func(to, from *ClusterState) func(*ClusterState) {
			message := newStateMessage(from.ChangesSince(to.Position()))
			if from == states[earlierRelease] {
				message.Era, message.Retained = 0, nil
			}
			return func(cs *ClusterState) {
				if d := message.delta(); d.Position.After(cs.Position()) || len(d.Retained) > 0 {
					cs.ApplyDelta(d, "peer")
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"server/a", "server/b", "out/z"}).Draw(t, "key")
			i := rapid.IntRange(0, earlierRelease-1).Draw(t, "entry")
			step := rapid.SampledFrom([]string{"put", "drain", "remove", "configure", "backup", "restore", "range", "watch", "pull", "late", "lose", "time", "earlier release"}).Draw(t, "step")
			delayed := rapid.Bool().Draw(t, "delayed")
			deliver := func(apply func(*ClusterState)) {
				if delayed {
					late = append(late, answer{states[i], apply})
				} else {
					apply(states[i])
				}
			}
			switch step {
			case "put":
				m.write(putChange(key, "ready", 0))
			case "drain":
				m.write(putChange("server/a", "leaving", 0))
			case "remove":
				if _, known := m.items[key]; known {
					m.write(Change{Key: key, Removed: true})
				}
			case "configure":
				written++
				m.write(putChange("config", string([]byte{byte(written)}), 0))
			case "backup":
				m.backup = m.copied()
			case "restore":
				m.restore()
			case "range":
				deliver(m.rangeInto())
			case "watch":
				deliver(m.watchInto(states[i].Position()))
			case "pull":
				from := states[rapid.IntRange(0, earlierRelease).Draw(t, "from")]
				if from != states[i] {
					deliver(pull(states[i], from))
				}
			case "late":
				if len(late) > 0 {
					late[0].apply(late[0].state)
					late = late[1:]
				}
			case "lose":
				late = late[min(len(late), 1):]
			case "time":
				now = now.Add(clock.Span(rapid.IntRange(1, 8000).Draw(t, "ms")))
				for _, cs := range states {
					cs.RemoveExpired()
				}
			case "earlier release": // it reads positions without their era
				var items []Change
				for _, c := range m.items {
					items = append(items, c.at(0))
				}
				states[earlierRelease].Replace(items, store.At(0, m.revision), "store")
			}
			for j, cs := range states {
				if cs.ConfigVersion() < versions[j] {
					t.Fatalf("entry %d went back from version %d to %d", j, versions[j], cs.ConfigVersion())
				}
				versions[j] = cs.ConfigVersion()
			}
		}
		var want []string
		if _, evacuated := m.items["out/z"]; !evacuated {
			for _, id := range []string{"a", "b"} {
				if string(m.items["server/"+id].Value) == "ready" {
					want = append(want, id)
				}
			}
		}
		for i, cs := range states[:earlierRelease] {
			m.watchInto(cs.Position())(cs)
			assert.Equal(t, m.position(), cs.Position())
			settle(&now, cs)
			assert.Equal(t, want, usableServers(cs), "servers of entry %d", i)
			if c, known := m.items["config"]; known {
				assert.GreaterOrEqual(t, cs.ConfigVersion(), int64(c.Value[0]), "version of entry %d", i)
			}
		}
	})
}
