package expert

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the memory of demand regimes, in reports unless noted.
const (
	regimeHalfLife     = 600  // after which half of a regime's weight is gone
	minRegimeReports   = 3    // weight below which a regime is ignored, because it may be a report that spans a shift
	regimeWindow       = 16   // over which the shares of a regime are averaged
	maxRegimeDistance  = 0.4  // squared distance of one regime's reports, relative to their squared distance from even shares
	recognitionReports = 2    // after a shift, planned on the remembered shares of a regime
	returnFraction     = 0.65 // part of the skew of another regime that counts, since it may not return before the next map
	maxCases           = 8    // regimes besides the present one that a search plans for, which bounds its time
	maxRegimeNoise     = 0.25 // expected noise of a report on the same scale, above which it is ignored
)

// regime is the demand of a period with a steady mix of requests, which may return.
type regime struct {
	weight  float64     // decayed number of reports
	reports float64     // number of reports that the shares are averaged over, at most regimeWindow
	shares  [][]float64 // by layer and expert
}

// regimeSet remembers a bounded number of demand regimes.
type regimeSet struct {
	known      []*regime
	sinceShift int     // reports since the present regime began
	present    *regime // regime of the newest report, nil if it has too few tokens
}

// add assigns a report to the nearest regime, or to a new one in place of the regime with the lowest weight.
func (s *regimeSet) add(layers [][]int64, gap uint64, limit int) {
	retention := math.Exp2(-float64(gap) / regimeHalfLife)
	for _, r := range s.known {
		r.weight *= retention
	}
	before := s.present
	s.present = nil
	shares, spread, noise := reportShares(layers)
	if spread <= 0 || noise > maxRegimeNoise*spread {
		return
	}
	s.present = s.nearest(shares, spread)
	if s.present == nil {
		s.present = &regime{shares: shares}
		if len(s.known) >= limit {
			lightest := 0
			for i, r := range s.known {
				if r.weight < s.known[lightest].weight {
					lightest = i
				}
			}
			s.known = slices.Delete(s.known, lightest, lightest+1)
		}
		s.known = append(s.known, s.present)
	}
	s.present.add(shares)
	s.sinceShift++
	if s.present != before {
		s.sinceShift = 0
	}
}

// reportShares returns the shares of each layer with tokens, their squared distance from even shares and the part of it that
// independent tokens explain.
func reportShares(layers [][]int64) (shares [][]float64, spread, noise float64) {
	shares = make([][]float64, len(layers))
	for l, counts := range layers {
		shares[l] = Shares(counts)
		if shares[l] == nil {
			continue
		}
		squares := 0.0
		for _, p := range shares[l] {
			squares += p * p
		}
		spread += squares - 1/float64(len(counts))
		noise += 1 / totalTokens(counts)
	}
	return shares, spread, noise
}

// nearest returns the regime that the shares belong to, or nil if none is near.
func (s *regimeSet) nearest(shares [][]float64, spread float64) (nearest *regime) {
	lowest := maxRegimeDistance * spread
	for _, r := range s.known {
		distance := 0.0
		for l := range shares {
			if shares[l] == nil || r.shares[l] == nil {
				continue
			}
			for e, p := range shares[l] {
				d := p - r.shares[l][e]
				distance += d * d
			}
		}
		if distance < lowest {
			lowest, nearest = distance, r
		}
	}
	return nearest
}

func (r *regime) add(shares [][]float64) {
	r.weight++
	r.reports = min(r.reports+1, regimeWindow)
	for l := range shares {
		switch {
		case shares[l] == nil:
		case r.shares[l] == nil:
			r.shares[l] = shares[l]
		default:
			for e, p := range shares[l] {
				r.shares[l][e] += (p - r.shares[l][e]) / r.reports
			}
		}
	}
}

// presentShares returns the present shares of a layer. In the first reports of a regime that returns they are those
// remembered.
func (s *regimeSet) presentShares(layer int, estimated []float64) []float64 {
	r := s.present
	if r == nil || r.weight < minRegimeReports || s.sinceShift >= recognitionReports || r.shares[layer] == nil {
		return estimated
	}
	return r.shares[layer]
}

// returning returns the shares of a layer in the regimes that may return and that load a rank most under the map, at most
// maxCases, most skewed first.
func (s *regimeSet) returning(layer int, ranks [][]int) (cases []regimeCase) {
	for _, r := range s.known {
		if r != s.present && r.weight >= minRegimeReports && r.shares[layer] != nil {
			cases = append(cases, regimeCase{shares: r.shares[layer], skew: LayerSkew(ranks, r.shares[layer])})
		}
	}
	slices.SortStableFunc(cases, func(a, b regimeCase) int { return -cmp.Compare(a.skew, b.skew) })
	return cases[:min(len(cases), maxCases)]
}

// regimeCase is a regime's shares of one layer with the skew of the map in use.
type regimeCase struct {
	shares []float64
	skew   float64
}
