package balance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the agents that the entry self connects to, at most size; the result depends only on the arguments.
//
// Entries are spaced evenly on a ring of agents and each takes the agents that follow its position, as in Finagle's
// deterministic aperture. The numbers of entries of any two agents differ by at most one, and adding or removing one entry
// moves each position by at most len(agents)/len(entries) agents.
func Subset(self string, entries, agents []string, size int) []string {
	if size <= 0 || len(agents) == 0 {
		return nil
	}
	if size >= len(agents) {
		return slices.Clone(agents)
	}
	ring := byHash(agents)
	sortedEntries := byHash(entries)
	position := slices.Index(sortedEntries, self)
	if position < 0 {
		position = 0
	}
	start := position * len(ring) / max(len(sortedEntries), 1)
	subset := make([]string, size)
	for i := range subset {
		subset[i] = ring[(start+i)%len(ring)]
	}
	return subset
}

// byHash returns names without duplicates in the order of their hashes, so that similar names are not adjacent.
func byHash(names []string) []string {
	type hashed struct {
		name string
		hash uint64
	}
	list := make([]hashed, len(names))
	for i, name := range names {
		list[i] = hashed{name: name, hash: xxhash.Sum64String(name)}
	}
	slices.SortFunc(list, func(a, b hashed) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return strings.Compare(a.name, b.name)
	})
	sorted := make([]string, len(list))
	for i := range list {
		sorted[i] = list[i].name
	}
	return slices.Compact(sorted)
}
