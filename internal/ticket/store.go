package ticket

import (
	"sync"
	"sync/atomic"

	"carawaypick/pkg/clock"
)

// Defaults and bounds of a Book.
const (
	// DefaultSettle is how long a ticket waits for a rival with its number before it is in force.
	DefaultSettle = clock.Second
	// DefaultSeal is how much later than the first a rival may be seen and still win its number.
	DefaultSeal = 10 * clock.Minute
	// maxAhead is how far above the state a ticket may be held back by a gap.
	maxAhead = 4096
	// keepTickets is the number of sealed tickets kept for peers that are behind.
	keepTickets = 1024
	// keepBytes bounds the contents of all tickets kept.
	keepBytes = 8 << 20
)

// Book holds the tickets that a process has seen and the state that they fold to.
type Book struct {
	settle clock.Span
	seal   clock.Span
	state  atomic.Pointer[State]

	mutex   sync.Mutex
	base    *State // the fold of all tickets that are no longer in entries
	entries map[Number]*entry
	top     Number // highest number in entries
	bytes   int    // contents in entries
}

// NewBook returns an empty Book with its two spans in milliseconds.
func NewBook(settle, seal clock.Span) *Book {
	b := &Book{settle: settle, seal: seal, base: &State{}, entries: make(map[Number]*entry)}
	b.state.Store(b.base)
	return b
}

// State returns the state in force, which is empty with number 0 before the first ticket.
func (b *Book) State() *State {
	return b.state.Load()
}

// Ready tells whether the process has ever had a configuration.
func (b *Book) Ready() bool {
	return b.State().Number > 0
}

// Digest returns the number and the hash of the state in force.
func (b *Book) Digest() (number Number, hash uint64) {
	s := b.State()
	return s.Number, s.Hash
}

// Add takes in one ticket that some process first saw age milliseconds ago, and tells whether its content is new here.
func (b *Book) Add(now clock.Time, content []byte, age clock.Span) (changed bool, err error) {
	if len(content) > MaxContent {
		return false, invalid("content", "is too long")
	}
	n, form, err := canonical(content)
	if err != nil {
		return false, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed, err = b.see(n, form, now.Add(-max(age, 0)))
	b.advance(now)
	return changed, err
}

// AddSnapshot starts from a folded state where it is ahead of the one in force.
func (b *Book) AddSnapshot(now clock.Time, content []byte) (changed bool, err error) {
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
	for n := range b.entries {
		if n <= s.Number {
			b.drop(n)
		}
	}
	b.state.Store(s)
	b.advance(now)
	return true, nil
}

// Advance puts in force what has settled by now, and tells whether the state changed.
func (b *Book) Advance(now clock.Time) (changed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.advance(now)
}

// Wake returns the moment at which Advance next has something to do, where there is one.
func (b *Book) Wake() (at clock.Time, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.entries[b.State().Number+1]
	if e == nil {
		return 0, false
	}
	return e.first.Add(b.settle), true
}

// Missing returns the number that holds back later tickets and for how long it has, where one does.
func (b *Book) Missing(now clock.Time) (number Number, since clock.Span, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := b.State().Number + 1
	if b.entries[next] != nil {
		return 0, 0, false
	}
	first := now
	for n, e := range b.entries {
		if n > next {
			first = min(first, e.first)
			ok = true
		}
	}
	if !ok {
		return 0, 0, false
	}
	return next, now.Sub(first), true
}
