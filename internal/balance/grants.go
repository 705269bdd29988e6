package balance

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Grants divides a concurrency window among the entries that hold a current lease.
type Grants struct {
	ttl    clock.Span
	leases []lease
}

type lease struct {
	entry     string
	grant     uint32
	renewedAt clock.Time
}

// NewGrants returns an empty table whose grants expire after ttl ms.
//
// An entry must stop using a grant ttl ms after it sent the request that obtained it.
func NewGrants(ttl clock.Span) *Grants {
	return &Grants{ttl: ttl}
}

// Renew returns the number of requests that entry may have in flight until it renews its grant or the grant expires.
//
// The sum of current grants never exceeds the window, except that a smaller window applies to each entry from its next
// renewal.
func (g *Grants) Renew(now clock.Time, entry string, window uint32) uint32 {
	g.expire(now)
	i := g.findOrAdd(entry)
	var others uint32
	for k := range g.leases {
		if k != i {
			others += g.leases[k].grant
		}
	}
	var free uint32
	if others < window {
		free = window - others
	}
	grant := min(g.fairShare(now, i, window), free)
	g.leases[i].grant = grant
	g.leases[i].renewedAt = now
	return grant
}

// fairShare returns the equal share of lease i; the remainder rotates among the leases over time.
func (g *Grants) fairShare(now clock.Time, i int, window uint32) uint32 {
	n := len(g.leases)
	share := window / uint32(n)
	rest := int(window % uint32(n))
	rotation := int(int64(now) / max(int64(g.ttl), 1) % int64(n))
	if (i+rotation)%n < rest {
		share++
	}
	return share
}

func (g *Grants) expire(now clock.Time) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool {
		return now.Sub(l.renewedAt) >= g.ttl
	})
}

// findOrAdd returns the index of the entry's lease and adds an empty lease if there is none.
func (g *Grants) findOrAdd(entry string) int {
	for i := range g.leases {
		if g.leases[i].entry == entry {
			return i
		}
	}
	g.leases = append(g.leases, lease{entry: entry})
	return len(g.leases) - 1
}
