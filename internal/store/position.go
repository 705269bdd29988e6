package store

import (
	"cmp"
	"math"
)

// Position is a place in the history of the store.
//
// Revisions rise within an era only: a store that comes back from a copy begins the next era and gives revisions out
// again. A revision alone can't be read from a position, so that it is never compared without its era.
type Position struct {
	era      int64 // 0 for a store that does not tell its era
	revision int64
}

// Latest is after all other positions.
var Latest = Position{era: math.MaxInt64, revision: math.MaxInt64}

// At returns the position of a revision in an era.
func At(era, revision int64) Position {
	return Position{era: era, revision: revision}
}

// Numbers returns the era and the revision, for messages and logs.
func (p Position) Numbers() (era, revision int64) {
	return p.era, p.revision
}

// Compare returns -1, 0 or 1 as p is before, at or after o; each position of a later era is after those of earlier ones.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.era, o.era), cmp.Compare(p.revision, o.revision))
}

// After reports whether p is after o.
func (p Position) After(o Position) bool {
	return p.Compare(o) > 0
}

// SameEra reports whether p and o are of one era.
func (p Position) SameEra(o Position) bool {
	return p.era == o.era
}

// HasEra reports whether the era of p is known.
func (p Position) HasEra() bool {
	return p.era != 0
}

// IsZero reports whether p is the start of the history, before anything was read.
func (p Position) IsZero() bool {
	return p == Position{}
}

// WithEraOf returns the revision of p in the era of o.
func (p Position) WithEraOf(o Position) Position {
	return Position{era: o.era, revision: p.revision}
}

// NumberedAbove reports whether the revision of p is above that of o, whatever their eras. It only helps to tell which
// of two records is newer if one of them is from a copy of the history of the other.
func (p Position) NumberedAbove(o Position) bool {
	return p.revision > o.revision
}
