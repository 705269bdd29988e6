package caller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/platform"
)

func TestEntryTracker(t *testing.T) {
	live := func(name string) platform.Instance {
		return platform.Instance{Name: name, Role: platform.EntryRole, State: platform.StateLive, Caller: name + ":1"}
	}
	leaving := live("b")
	leaving.State = platform.StateLeaving
	var tracker entryTracker
	version := uint64(0)
	update := func(instances ...platform.Instance) {
		version++
		tracker.update(&platform.List{Version: version, Instances: instances})
	}
	assertStarting := func(t *testing.T, names ...string) {
		t.Helper()
		for _, name := range []string{"a", "b", "c"} {
			assert.Equal(t, assert.ObjectsAreEqual(names, []string{name}), tracker.isStarting(name), name)
		}
		assert.Len(t, tracker.startingEntries(), len(names))
	}
	update(live("a"), live("b"))
	t.Run("entries of the first list serve", func(t *testing.T) { assertStarting(t) })
	update(live("a"), leaving)
	update(live("a"), live("b"))
	t.Run("an entry that restarted is starting", func(t *testing.T) { assertStarting(t, "b") })
	t.Run("an answer of its process before does not count", func(t *testing.T) {
		moved := live("b")
		moved.Caller = "other:1"
		tracker.setServing(moved)
		assertStarting(t, "b")
	})
	tracker.setServing(live("b"))
	t.Run("until it has proved that it serves", func(t *testing.T) { assertStarting(t) })
	update(live("a"), live("b"), live("c"))
	t.Run("a new entry is starting", func(t *testing.T) { assertStarting(t, "c") })
	update(live("a"), live("b"))
	t.Run("an entry that is gone is not", func(t *testing.T) { assertStarting(t) })
}
