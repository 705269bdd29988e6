package operator

import "sync"

// DecisionRing is a ring buffer of the latest decisions of a process; it is safe for concurrent use.
type DecisionRing struct {
	mutex     sync.Mutex
	decisions []Decision
	next      int
	full      bool
}

// NewDecisionRing returns a ring buffer for size decisions, at least 1.
func NewDecisionRing(size int) *DecisionRing {
	return &DecisionRing{decisions: make([]Decision, max(size, 1))}
}

// Add stores d and, if the buffer is full, overwrites the oldest decision.
func (r *DecisionRing) Add(d Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next = 0
		r.full = true
	}
}

// Find returns the decisions with the request id key, oldest first.
func (r *DecisionRing) Find(key string) []Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []Decision
	if r.full {
		found = appendMatching(found, r.decisions[r.next:], key)
	}
	return appendMatching(found, r.decisions[:r.next], key)
}

func appendMatching(found, decisions []Decision, key string) []Decision {
	for i := range decisions {
		if decisions[i].Key == key {
			found = append(found, decisions[i])
		}
	}
	return found
}
