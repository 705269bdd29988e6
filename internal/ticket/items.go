package ticket

import (
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// Item is one ticket or snapshot as sent to a peer.
type Item struct {
	Number   Number
	Content  []byte
	Age      clock.Span // ms since any process first saw it
	Snapshot bool       // Content is the folded state up to Number
}

// After returns the tickets above a number in order, up to a limit in bytes but at least one item; a snapshot comes
// first if the number is below Base.
func (b *Store) After(now clock.Time, n Number, limit int) (items []Item, err error) {
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
		c := b.candidates[n]
		if c == nil {
			continue
		}
		if limit -= c.size(); limit < 0 && len(items) > 0 {
			return items, nil
		}
		items = append(items, c.items(now, n)...)
	}
	return items, nil
}

func (c *candidateSet) items(now clock.Time, n Number) (items []Item) {
	for _, o := range c.observations {
		items = append(items, Item{Number: n, Content: o.content, Age: now.Sub(o.firstSeen)})
	}
	return items
}

// Conflicting returns all contents of the numbers that have several, lowest number first and up to a limit in bytes.
func (b *Store) Conflicting(now clock.Time, limit int) (items []Item) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for n := b.base.Number + 1; n <= b.highest(); n++ {
		c := b.candidates[n]
		if c == nil || len(c.observations) < 2 {
			continue
		}
		if limit -= c.size(); limit < 0 {
			return items
		}
		items = append(items, c.items(now, n)...)
	}
	return items
}

// Has reports whether any content of a number is known.
func (b *Store) Has(n Number) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return n <= b.base.Number || b.candidates[n] != nil
}

// LastSealed returns the number up to which no other content can win any more, as far as known here.
func (b *Store) LastSealed(now clock.Time) Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.base.Number
	for {
		c := b.candidates[n+1]
		if c == nil || now <= c.firstSeen.Add(b.sealDelay) {
			return n
		}
		n++
	}
}

// LastContiguous returns the highest number up to which every ticket is known, applied or not.
func (b *Store) LastContiguous() Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.State().Number
	for b.candidates[n+1] != nil {
		n++
	}
	return n
}

// ConflictingContent is one of several contents that were published under one number.
type ConflictingContent struct {
	Hash   uint64     `json:"hash"`
	Author string     `json:"author"`
	Age    clock.Span `json:"age"`  // ms since any process first saw it
	Late   bool       `json:"late"` // first seen too late to win
}

// Conflict is a number with several contents, which is an error of the publishers.
type Conflict struct {
	Number Number               `json:"number"`
	Kept   ConflictingContent   `json:"kept"`
	Lost   []ConflictingContent `json:"lost"`
}

// Conflicts returns the conflicts among the kept tickets, lowest number first.
func (b *Store) Conflicts(now clock.Time) (conflicts []Conflict) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for n := b.base.Number + 1; n <= b.highest(); n++ {
		c := b.candidates[n]
		if c == nil || len(c.observations) < 2 {
			continue
		}
		conflicts = append(conflicts, b.conflict(now, n, c))
	}
	return conflicts
}

func (b *Store) conflict(now clock.Time, n Number, c *candidateSet) (result Conflict) {
	result.Number = n
	kept := c.winner(b.sealDelay).hash
	for _, o := range c.observations {
		r := ConflictingContent{Hash: o.hash, Age: now.Sub(o.firstSeen), Late: o.firstSeen > c.firstSeen.Add(b.sealDelay)}
		if t, err := Decode(o.content); err == nil {
			r.Author = t.Author
		}
		if o.hash == kept {
			result.Kept = r
			continue
		}
		result.Lost = append(result.Lost, r)
	}
	return result
}

// Base returns the number up to which only the folded state is kept.
func (b *Store) Base() Number {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.base.Number
}
