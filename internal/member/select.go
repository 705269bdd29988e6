package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/platform"
)

// score is the rendezvous weight of a name for a purpose.
func score(purpose, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(purpose)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Readers returns the names of the live instances of a zone that watch the configuration service, at most count.
func Readers(l *platform.List, zone string, count int) (names []string) {
	for _, i := range highest(l, "reader", count, func(i *platform.Instance) bool { return i.Zone == zone }) {
		names = append(names, i.Name)
	}
	return names
}

// Neighbours returns the live instances that an instance spreads news to: its successor on the ring of all
// names' hashes, which connects them all, and its rendezvous choices, three fifths of count in its own zone.
func Neighbours(self platform.Instance, l *platform.List, count int) (chosen []platform.Instance) {
	if s, ok := successor(self, l); ok {
		chosen = append(chosen, s)
	}
	own := (count*3 + 4) / 5
	near := highest(l, self.Name, own, func(i *platform.Instance) bool { return i.Zone == self.Zone && i.Name != self.Name })
	far := highest(l, self.Name, count-own, func(i *platform.Instance) bool { return i.Zone != self.Zone })
	for _, i := range append(near, far...) {
		if !slices.ContainsFunc(chosen, func(c platform.Instance) bool { return c.Name == i.Name }) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// successor returns the live instance that follows on the ring of hashes.
func successor(self platform.Instance, l *platform.List) (next platform.Instance, ok bool) {
	at := score("ring", self.Name)
	var distance uint64
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.State != platform.Live || i.Name == self.Name {
			continue
		}
		if d := score("ring", i.Name) - at; !ok || d < distance {
			next, distance, ok = *i, d, true
		}
	}
	return next, ok
}

// scored is the place of an instance in a list with its score for a purpose.
type scored struct {
	score uint64
	index int
}

// compareScores orders by falling score, then by place.
func compareScores(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// highest returns up to count live instances that are wanted, by falling score for a purpose.
func highest(l *platform.List, purpose string, count int, wanted func(*platform.Instance) bool) (chosen []platform.Instance) {
	best := make([]scored, 0, count+1)
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.State != platform.Live || !wanted(i) {
			continue
		}
		s := scored{score(purpose, i.Name), n}
		at, _ := slices.BinarySearchFunc(best, s, compareScores)
		if at == count {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), count)]
	}
	for _, s := range best {
		chosen = append(chosen, l.Instances[s.index])
	}
	return chosen
}
