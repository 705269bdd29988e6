package overload

import (
	"cmp"
	"math"
	"slices"
)

const (
	defaultWeight = 1.0
	minWeight     = 1e-3 // lower weights are invalid
	maxWeight     = 1e3  // higher weights are invalid
	maxDemand     = 1e9  // requests per second that one team counts at most, so that sums stay exact
)

// ValidWeight reports whether w is usable as the weight of a team; a team with another one has weight 1.
func ValidWeight(w float64) bool {
	return w >= minWeight && w <= maxWeight
}

// FairFractions returns the fraction in [0, 1] of each team's demand that fits into room by weighted max-min fairness
// (Bertsekas and Gallager, Data Networks, 1992, section 6.5.2). Room and demand have the same unit. Invalid demand counts as
// 0, an invalid or missing weight as 1.
func FairFractions(room float64, demand, weight map[string]float64) map[string]float64 {
	s := newShares(demand, func(team string) float64 { return weightOr1(weight, team) })
	filled := s.fill(room)
	fractions := make(map[string]float64, len(demand))
	for team := range demand {
		fractions[team] = s.fraction(team, filled)
	}
	return fractions
}

// weightOr1 returns the team's weight, or 1 if it is missing or invalid.
func weightOr1[K comparable](weight map[K]float64, team K) float64 {
	if w := weight[team]; ValidWeight(w) {
		return w
	}
	return defaultWeight
}

// teamShare is the demand of one team and its weight.
type teamShare struct {
	demand, weight float64
}

// saturation returns the capacity per unit of weight from which on the team's demand is met.
func (t teamShare) saturation() float64 {
	return t.demand / t.weight
}

// shares divides a capacity among teams. It doesn't change, so that one sort serves many requests.
type shares[K comparable] struct {
	teams  map[K]teamShare
	sorted []teamShare // by saturation
	weight float64     // sum of the weights
	demand float64     // sum of the demands
}

// newShares returns the shares of the teams with a valid demand above 0.
func newShares[K comparable](demand map[K]float64, weight func(K) float64) *shares[K] {
	s := &shares[K]{teams: make(map[K]teamShare, len(demand)), sorted: make([]teamShare, 0, len(demand))}
	for team, d := range demand {
		if !(d > 0) { // NaN too
			continue
		}
		t := teamShare{demand: min(d, maxDemand), weight: weight(team)}
		s.teams[team] = t
		s.sorted = append(s.sorted, t)
		s.weight += t.weight
		s.demand += t.demand
	}
	slices.SortFunc(s.sorted, func(a, b teamShare) int { return cmp.Compare(a.saturation(), b.saturation()) })
	return s
}

// fill returns the capacity per unit of weight that each team gets at most, +Inf if all demand fits into room.
func (s *shares[K]) fill(room float64) float64 {
	if !(room > 0) { // NaN too
		room = 0
	}
	weight := s.weight
	for _, t := range s.sorted {
		if t.saturation()*weight > room {
			return max(room, 0) / weight
		}
		room -= t.demand
		weight -= t.weight
	}
	return math.Inf(1)
}

// fraction returns the fraction of the team's demand that is met at the level that fill returned, 1 for a team without demand.
func (s *shares[K]) fraction(team K, filled float64) float64 {
	t, ok := s.teams[team]
	if !ok {
		return 1
	}
	return min(1, filled*t.weight/t.demand)
}
