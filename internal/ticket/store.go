package ticket

import (
	"sync"
	"sync/atomic"

	"carawaypick/pkg/clock"
)

// Defaults and bounds of a ticket store.
const (
	// DefaultSettleDelay is how long a ticket is held back for conflicting contents of its number before it is applied.
	DefaultSettleDelay = clock.Second
	// DefaultSealDelay is the time after the first observation of a number within which a content must be first seen to win.
	DefaultSealDelay = 10 * clock.Minute
	// maxAhead bounds how far the number of a ticket that a gap holds back may be above the active number.
	maxAhead = 4096
	// maxSealedTickets bounds the sealed tickets kept for peers that are behind.
	maxSealedTickets = 1024
	// maxKeptBytes bounds the contents of all kept tickets.
	maxKeptBytes = 8 << 20
)

// Store stores the tickets that a process has received and the state that they fold into.
type Store struct {
	settleDelay clock.Span
	sealDelay   clock.Span
	state       atomic.Pointer[State]

	mutex        sync.Mutex
	base         *State // the fold of all tickets that are no longer in candidates
	candidates   map[Number]*candidateSet
	top          Number // highest number in candidates
	contentBytes int    // total size of the contents in candidates
}

// NewStore returns an empty ticket store with its settle and seal delays in milliseconds.
func NewStore(settleDelay, sealDelay clock.Span) *Store {
	b := &Store{settleDelay: settleDelay, sealDelay: sealDelay, base: &State{}, candidates: make(map[Number]*candidateSet)}
	b.state.Store(b.base)
	return b
}

// State returns the active state, which is empty with number 0 before the first ticket.
func (b *Store) State() *State {
	return b.state.Load()
}

// Ready reports whether any ticket or snapshot has been processed.
func (b *Store) Ready() bool {
	return b.State().Number > 0
}

// Digest returns the number and the hash of the active state.
func (b *Store) Digest() (number Number, hash uint64) {
	s := b.State()
	return s.Number, s.Hash
}

// Add records one ticket that some process first saw age milliseconds ago, reports whether its content is new here, and
// returns an InvalidError if it cannot be recorded.
func (b *Store) Add(now clock.Time, content []byte, age clock.Span) (changed bool, err error) {
	if len(content) > MaxTicketBytes {
		return false, invalid("content", "is too long")
	}
	n, form, err := canonical(content)
	if err != nil {
		return false, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed, err = b.observe(n, form, now.Add(-max(age, 0)))
	b.advance(now)
	return changed, err
}

// AddSnapshot replaces the active state by a snapshot that is ahead of it, and reports whether it did.
func (b *Store) AddSnapshot(now clock.Time, content []byte) (changed bool, err error) {
	s, err := DecodeSnapshot(content)
	if err != nil {
		return false, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s.Number <= b.State().Number {
		return false, nil
	}
	b.base = s
	for n := range b.candidates {
		if n <= s.Number {
			b.drop(n)
		}
	}
	b.state.Store(s)
	b.advance(now)
	return true, nil
}

// Advance applies the tickets whose settle delay has passed by now, and reports whether the state changed.
func (b *Store) Advance(now clock.Time) (changed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.advance(now)
}

// NextAdvance returns when the ticket after the active number can be applied, or false if that ticket is not known.
func (b *Store) NextAdvance() (at clock.Time, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.candidates[b.State().Number+1]
	if c == nil {
		return 0, false
	}
	return c.firstSeen.Add(b.settleDelay), true
}

// Missing returns the number of a missing ticket that holds back later ones, if any, and for how many ms it has held them back.
func (b *Store) Missing(now clock.Time) (number Number, since clock.Span, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := b.State().Number + 1
	if b.candidates[next] != nil {
		return 0, 0, false
	}
	first := now
	for n, c := range b.candidates {
		if n > next {
			first = min(first, c.firstSeen)
			ok = true
		}
	}
	if !ok {
		return 0, 0, false
	}
	return next, now.Sub(first), true
}
