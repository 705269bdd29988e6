package expert

import "math"

// Skew returns the mean over layers of the busiest rank's tokens over the mean rank's, 1 where there are no tokens.
//
// Every layer ends with an exchange between all ranks, so a step waits for the busiest rank of each layer in turn.
func Skew(m Map, layers [][]int64) float64 {
	sum := 0.0
	for l := range layers {
		sum += LayerSkew(m[l], Shares(layers[l]))
	}
	return sum / float64(max(len(layers), 1))
}

// Bound returns a skew that no map of the shape can go below for these tokens.
func Bound(s Shape, layers [][]int64) float64 {
	sum := 0.0
	for _, counts := range layers {
		sum += LayerBound(s, Shares(counts))
	}
	return sum / float64(max(len(layers), 1))
}

// Shares returns each expert's part of all tokens, nil where there are none.
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

// LayerSkew returns the busiest rank's load over the mean rank's for one layer and the shares of its experts.
func LayerSkew(ranks [][]int, shares []float64) float64 {
	if shares == nil {
		return 1
	}
	copies := make([]int, len(shares))
	for _, slots := range ranks {
		for _, e := range slots {
			copies[e]++
		}
	}
	most := 0.0
	for _, slots := range ranks {
		load := 0.0
		for _, e := range slots {
			load += shares[e] / float64(copies[e])
		}
		most = max(most, load)
	}
	return most * float64(len(ranks))
}

// boundSteps is how often the search for the bound halves its interval.
const boundSteps = 24

// LayerBound returns a skew that no placement of one layer can go below.
//
// To keep every rank at or below t times the mean, an expert of share p needs
// at least p*ranks/t replicas, and all replicas must fit into the slots.
func LayerBound(s Shape, shares []float64) float64 {
	if shares == nil || fits(s, shares, 1) {
		return 1
	}
	low, high := 1.0, float64(s.Ranks)
	for range boundSteps {
		middle := (low + high) / 2
		if fits(s, shares, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

func fits(s Shape, shares []float64, skew float64) bool {
	need := 0
	for _, p := range shares {
		need += max(1, int(math.Ceil(p*float64(s.Ranks)/skew-1e-9)))
	}
	return need <= s.Ranks*s.Slots
}
