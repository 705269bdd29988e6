package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/platform"
)

// rendezvousScore returns the rendezvous hash of a name under a key.
func rendezvousScore(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Readers returns the names of up to count live instances of a zone that watch the configuration service.
func Readers(l *platform.List, zone string, count int) (names []string) {
	for _, i := range topScored(l, "reader", count, func(i *platform.Instance) bool { return i.Zone == zone }) {
		names = append(names, i.Name)
	}
	return names
}

// Neighbours returns the live instances that an instance pushes updates to: its successor on the ring of name hashes,
// which connects all instances, and up to count others by rendezvous hash, three fifths of them in its own zone.
func Neighbours(self platform.Instance, l *platform.List, count int) (chosen []platform.Instance) {
	if s, ok := successor(self, l); ok {
		chosen = append(chosen, s)
	}
	localCount := (count*3 + 4) / 5
	local := topScored(l, self.Name, localCount, func(i *platform.Instance) bool { return i.Zone == self.Zone && i.Name != self.Name })
	remote := topScored(l, self.Name, count-localCount, func(i *platform.Instance) bool { return i.Zone != self.Zone })
	for _, i := range append(local, remote...) {
		if !slices.ContainsFunc(chosen, func(c platform.Instance) bool { return c.Name == i.Name }) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// successor returns the next live instance on the ring of name hashes.
func successor(self platform.Instance, l *platform.List) (next platform.Instance, ok bool) {
	at := rendezvousScore("ring", self.Name)
	var distance uint64
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.State != platform.StateLive || i.Name == self.Name {
			continue
		}
		if d := rendezvousScore("ring", i.Name) - at; !ok || d < distance {
			next, distance, ok = *i, d, true
		}
	}
	return next, ok
}

// scoredInstance is the index of an instance in a list with its rendezvous score.
type scoredInstance struct {
	score uint64
	index int
}

// compareScores orders by descending score, then by index.
func compareScores(a, b scoredInstance) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// topScored returns up to count wanted live instances, by descending rendezvous score under a key.
func topScored(l *platform.List, key string, count int, wanted func(*platform.Instance) bool) (chosen []platform.Instance) {
	best := make([]scoredInstance, 0, count+1)
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.State != platform.StateLive || !wanted(i) {
			continue
		}
		s := scoredInstance{rendezvousScore(key, i.Name), n}
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
