package ticket

import (
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// Item is one ticket or snapshot as it is passed to a peer.
type Item struct {
	Number   Number
	Content  []byte
	Age      clock.Span // ms since any process first saw it
	Snapshot bool       // Content is the folded state up to Number
}

// After returns what a peer lacks that knows all up to a number, in order and within a bound in bytes.
func (b *Book) After(now clock.Time, n Number, limit int) (items []Item, err error) {
	defer func() { err = errors.Wrap(err, "collect tickets") }()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if n < b.base.Number {
		content, failed := b.base.Snapshot()
		if failed != nil {
			return nil, failed
		}
		items = append(items, Item{Number: b.base.Number, Content: content, Snapshot: true})
		limit -= len(content)
		n = b.base.Number
	}
	for n++; n <= b.highest(); n++ {
		e := b.entries[n]
		if e == nil {
			continue
		}
		if limit -= e.size(); limit < 0 && len(items) > 0 {
			return items, nil
		}
		items = append(items, e.items(now, n)...)
	}
	return items, nil
}

func (e *entry) items(now clock.Time, n Number) (items []Item) {
	for _, s := range e.sights {
		items = append(items, Item{Number: n, Content: s.content, Age: now.Sub(s.first)})
	}
	return items
}

// Disputed returns all contents of the numbers that have several, lowest number first and within a bound in bytes.
func (b *Book) Disputed(now clock.Time, limit int) (items []Item) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for n := b.base.Number + 1; n <= b.highest(); n++ {
		e := b.entries[n]
		if e == nil || len(e.sights) < 2 {
			continue
		}
		if limit -= e.size(); limit < 0 {
			return items
		}
		items = append(items, e.items(now, n)...)
	}
	return items
}

// Holds tells whether any content is known for a number.
func (b *Book) Holds(n Number) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return n <= b.base.Number || b.entries[n] != nil
}

// Unsealed returns the number up to which no rival can win any more by what is known here.
func (b *Book) Unsealed(now clock.Time) Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.base.Number
	for {
		e := b.entries[n+1]
		if e == nil || now <= e.first.Add(b.seal) {
			return n
		}
		n++
	}
}

// Seen returns the highest number up to which every ticket is known, settled or not.
func (b *Book) Seen() Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.State().Number
	for b.entries[n+1] != nil {
		n++
	}
	return n
}

// Rival is one of several contents that were published under one number.
type Rival struct {
	Hash   uint64     `json:"hash"`
	Author string     `json:"author"`
	Age    clock.Span `json:"age"`  // ms since any process first saw it
	Late   bool       `json:"late"` // seen too long after the first to win
}

// Conflict is a number with more than one content, which is a fault of those who publish.
type Conflict struct {
	Number Number  `json:"number"`
	Kept   Rival   `json:"kept"`
	Lost   []Rival `json:"lost"`
}

// Conflicts returns the conflicts among the tickets kept, lowest number first.
func (b *Book) Conflicts(now clock.Time) (conflicts []Conflict) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for n := b.base.Number + 1; n <= b.highest(); n++ {
		e := b.entries[n]
		if e == nil || len(e.sights) < 2 {
			continue
		}
		conflicts = append(conflicts, b.conflict(now, n, e))
	}
	return conflicts
}

func (b *Book) conflict(now clock.Time, n Number, e *entry) (c Conflict) {
	c.Number = n
	kept := e.winner(b.seal).hash
	for _, s := range e.sights {
		r := Rival{Hash: s.hash, Age: now.Sub(s.first), Late: s.first > e.first.Add(b.seal)}
		if t, err := Decode(s.content); err == nil {
			r.Author = t.Author
		}
		if s.hash == kept {
			c.Kept = r
			continue
		}
		c.Lost = append(c.Lost, r)
	}
	return c
}

// Base returns the number up to which only the folded state is kept.
func (b *Book) Base() Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.base.Number
}
