package skew

import (
	"cmp"
	"slices"

	"carawaypick/pkg/expert"
)

// Replan computes a placement of one layer from scratch: the most loaded experts get the spare slots as replicas, and
// replicas go to the least loaded rank with a free slot, heaviest first.
func Replan(s expert.Shape, shares []float64) [][]int {
	replicas := replicate(s, shares)
	ranks := make([][]int, s.Ranks)
	loads := make([]float64, s.Ranks)
	for _, r := range replicas {
		best := leastLoaded(s, ranks, loads, r.expert)
		ranks[best] = append(ranks[best], r.expert)
		loads[best] += r.load
	}
	return ranks
}

type replica struct {
	expert int
	load   float64
}

// replicate returns one replica for each slot of the group, heaviest first.
func replicate(s expert.Shape, shares []float64) []replica {
	copies := make([]int, s.Experts)
	for e := range copies {
		copies[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		hottest := 0
		for e := range copies {
			if copies[e] < s.Ranks && shares[e]/float64(copies[e]) > shares[hottest]/float64(copies[hottest]) {
				hottest = e
			}
		}
		copies[hottest]++
	}
	var all []replica
	for e, n := range copies {
		for range n {
			all = append(all, replica{expert: e, load: shares[e] / float64(n)})
		}
	}
	slices.SortStableFunc(all, func(a, b replica) int { return cmp.Compare(b.load, a.load) })
	return all
}

// leastLoaded returns the least loaded rank with a free slot, preferably one without a replica of e.
func leastLoaded(s expert.Shape, ranks [][]int, loads []float64, e int) int {
	best, duplicate := -1, -1
	for r := range ranks {
		if len(ranks[r]) == s.Slots {
			continue
		}
		if duplicate < 0 || loads[r] < loads[duplicate] {
			duplicate = r
		}
		if !slices.Contains(ranks[r], e) && (best < 0 || loads[r] < loads[best]) {
			best = r
		}
	}
	if best < 0 {
		return duplicate
	}
	return best
}
