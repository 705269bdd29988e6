package operator

import "sync"

// Ring keeps the latest decisions of a process in bounded memory.
type Ring struct {
	mutex     sync.Mutex
	decisions []Decision
	next      int
	full      bool
}

// NewRing returns a ring that holds size decisions.
func NewRing(size int) *Ring {
	return &Ring{decisions: make([]Decision, max(size, 1))}
}

// Add keeps d in place of the oldest decision.
func (r *Ring) Add(d Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next = 0
		r.full = true
	}
}

// Find returns the decisions on the request id key, oldest first.
func (r *Ring) Find(key string) []Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []Decision
	if r.full {
		found = collect(found, r.decisions[r.next:], key)
	}
	return collect(found, r.decisions[:r.next], key)
}

func collect(found, decisions []Decision, key string) []Decision {
	for i := range decisions {
		if decisions[i].Key == key {
			found = append(found, decisions[i])
		}
	}
	return found
}
