package balance

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Grants divides a window among the entries lately heard from.
type Grants struct {
	keep    clock.Span
	holders []holder
}

type holder struct {
	entry string
	grant uint32
	heard clock.Time
}

// NewGrants returns an empty table whose grants live for keep ms.
//
// An entry must stop using a grant keep ms after it sent the question that brought it.
func NewGrants(keep clock.Span) *Grants {
	return &Grants{keep: keep}
}

// Ask returns the requests out of window that entry may have in flight, until it asks again or the grant ends.
//
// The live grants together never exceed the window, except that a shrunken window binds each entry from its next question.
func (g *Grants) Ask(now clock.Time, entry string, window uint32) uint32 {
	g.expire(now)
	i := g.find(entry)
	var others uint32
	for k := range g.holders {
		if k != i {
			others += g.holders[k].grant
		}
	}
	var free uint32
	if others < window {
		free = window - others
	}
	grant := min(g.share(now, i, window), free)
	g.holders[i].grant = grant
	g.holders[i].heard = now
	return grant
}

// share is the fair part of holder i; what does not divide evenly goes round with time.
func (g *Grants) share(now clock.Time, i int, window uint32) uint32 {
	n := len(g.holders)
	share := window / uint32(n)
	rest := int(window % uint32(n))
	turn := int(int64(now) / max(int64(g.keep), 1) % int64(n))
	if (i+turn)%n < rest {
		share++
	}
	return share
}

func (g *Grants) expire(now clock.Time) {
	g.holders = slices.DeleteFunc(g.holders, func(h holder) bool {
		return now.Sub(h.heard) >= g.keep
	})
}

func (g *Grants) find(entry string) int {
	for i := range g.holders {
		if g.holders[i].entry == entry {
			return i
		}
	}
	g.holders = append(g.holders, holder{entry: entry})
	return len(g.holders) - 1
}
