package expert

import "math"

// Skew returns the ratio of the busiest rank's tokens to the mean per rank, averaged over layers; 1 without tokens.
//
// Each layer ends with an exchange between all ranks, so a step waits for the busiest rank of every layer.
func Skew(m Map, layers [][]int64) float64 {
	sum := 0.0
	for l := range layers {
		sum += LayerSkew(m[l], Shares(layers[l]))
	}
	return sum / float64(max(len(layers), 1))
}

// SkewLowerBound returns a lower bound on the skew of any map of the shape for these tokens.
func SkewLowerBound(s Shape, layers [][]int64) float64 {
	sum := 0.0
	for _, counts := range layers {
		sum += LayerSkewLowerBound(s, Shares(counts))
	}
	return sum / float64(max(len(layers), 1))
}

// Shares returns each expert's fraction of the tokens, or nil without tokens.
func Shares(counts []int64) []float64 {
	total := 0.0
	for _, c := range counts {
		total += float64(c)
	}
	if total == 0 {
		return nil
	}
	shares := make([]float64, len(counts))
	for e, c := range counts {
		shares[e] = float64(c) / total
	}
	return shares
}

// LayerSkew returns the ratio of the busiest rank's load to the mean load for one layer with the given token shares.
func LayerSkew(ranks [][]int, shares []float64) float64 {
	if shares == nil {
		return 1
	}
	replicas := make([]int, len(shares))
	for _, slots := range ranks {
		for _, e := range slots {
			replicas[e]++
		}
	}
	maxLoad := 0.0
	for _, slots := range ranks {
		load := 0.0
		for _, e := range slots {
			load += shares[e] / float64(replicas[e])
		}
		maxLoad = max(maxLoad, load)
	}
	return maxLoad * float64(len(ranks))
}

// lowerBoundIterations is the number of bisection steps in the search for the lower bound.
const lowerBoundIterations = 24

// LayerSkewLowerBound returns a lower bound on the skew of any placement of one layer.
//
// For a skew of at most t, an expert with share p needs
// at least p*ranks/t replicas, and all replicas must fit into the slots.
func LayerSkewLowerBound(s Shape, shares []float64) float64 {
	if shares == nil || fitsInSlots(s, shares, 1) {
		return 1
	}
	low, high := 1.0, float64(s.Ranks)
	for range lowerBoundIterations {
		middle := (low + high) / 2
		if fitsInSlots(s, shares, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

func fitsInSlots(s Shape, shares []float64, skew float64) bool {
	needed := 0
	for _, p := range shares {
		needed += max(1, int(math.Ceil(p*float64(s.Ranks)/skew-1e-9)))
	}
	return needed <= s.Ranks*s.Slots
}
