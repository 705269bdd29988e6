package caller

import (
	"sync"

	"carawaypick/internal/platform"
)

// entryTracker tracks which entries of the instance list are known to serve. The list may show an entry as live as soon as
// its process starts.
type entryTracker struct {
	mu       sync.Mutex
	version  uint64                       // of the list
	serving  map[string]platform.Instance // by name
	starting map[string]platform.Instance // live in the list, but not known to serve
}

// update applies the instance list. All live entries of the first list count as serving: since when they are live is not
// known, and most of them have been for long.
func (t *entryTracker) update(l *platform.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Version == t.version {
		return
	}
	before, first := t.serving, t.version == 0
	t.version = l.Version
	t.serving, t.starting = make(map[string]platform.Instance), make(map[string]platform.Instance)
	for _, i := range l.Instances {
		if i.Role != platform.EntryRole || i.State != platform.StateLive {
			continue
		}
		if first || before[i.Name] == i {
			t.serving[i.Name] = i
		} else {
			t.starting[i.Name] = i
		}
	}
}

// setServing records that the entry serves, unless the list has changed it since.
func (t *entryTracker) setServing(i platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starting[i.Name] == i {
		delete(t.starting, i.Name)
		t.serving[i.Name] = i
	}
}

// isStarting reports whether the entry is live in the list but not known to serve.
func (t *entryTracker) isStarting(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, starting := t.starting[name]
	return starting
}

// startingEntries returns the entries that are live in the list but not known to serve.
func (t *entryTracker) startingEntries() (entries []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.starting {
		entries = append(entries, i)
	}
	return entries
}
