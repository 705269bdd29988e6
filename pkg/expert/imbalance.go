package expert

import (
	"math"

	"carawaypick/pkg/clock"
)

// sigmaMargin is added to the expected maximum of the noise, in standard deviations.
const sigmaMargin = 0.6

// imbalance is a layer whose skew exceeds what noise explains.
type imbalance struct {
	layer      int
	shares     []float64
	targetSkew float64      // skew at which the search stops
	others     []regimeCase // regimes that may return
	minGain    float64      // least reduction of skew by the whole plan for the layer
}

func (p *Planner) imbalances() []imbalance {
	var found []imbalance
	for l, e := range p.estimates {
		shares, tokens := e.best()
		if shares == nil {
			continue
		}
		var others []regimeCase
		if p.settings.MaxRegimes > 0 {
			shares = p.regimes.presentShares(l, shares)
			others = p.regimes.returning(l, p.current[l])
		}
		skew := LayerSkew(p.current[l], shares)
		if len(others) > 0 {
			skew = max(skew, returnFraction*others[0].skew)
		}
		if skew < 1+p.settings.MinLayerGain {
			continue
		}
		stdDev := p.loadStdDev(p.current[l], shares, tokens/e.overdispersion)
		lowerBound := LayerSkewLowerBound(p.shape, shares)
		minGain := max(p.settings.MinLayerGain, p.requiredSigma()*stdDev*e.caution())
		if skew-lowerBound >= minGain {
			found = append(found, imbalance{layer: l, shares: shares, targetSkew: lowerBound + max(p.settings.TargetMargin, stdDev/2), minGain: minGain, others: others})
		}
	}
	return found
}

// improveLayer returns the changes that lead to the layer's next placement, or nil if they gain too little.
func (p *Planner) improveLayer(imb imbalance, minGainPerMove float64, maxMoves int) []Change {
	next := newPlacement(imb.layer, cloneLayer(p.current[imb.layer]), imb.shares)
	next.initial, next.maxAdded, next.firstPlaceholder = p.current[imb.layer], p.settings.MaxAddedPerLayer, p.settings.FirstPlaceholder
	next.addCases(imb.others)
	changes, gain := profitablePrefix(next.improve(imb.targetSkew, maxMoves), minGainPerMove)
	if gain < imb.minGain {
		return nil
	}
	return changes
}

// minGainPerMove returns the least reduction of a layer's skew by one move: MinMoveGain divided by the number of ranks, or
// what pays for the stall of the move within the horizon if that is more.
func (p *Planner) minGainPerMove(r Report) float64 {
	stallTime := r.loadSeconds() * p.settings.StallFactor * float64(clock.Second)
	horizon := float64(p.settings.HorizonSteps) * float64(p.settings.StepTime)
	return max(p.settings.MinMoveGain/float64(p.shape.Ranks), stallTime/horizon*float64(p.shape.Layers))
}

// requiredSigma returns the number of standard deviations of noise that a gain must exceed, 0 to ignore noise. It grows
// with the number of ranks and layers, since the expected maximum of many draws does.
func (p *Planner) requiredSigma() float64 {
	draws := float64(p.shape.Ranks * p.shape.Layers)
	if p.settings.MinSigma == 0 {
		return 0
	}
	return max(p.settings.MinSigma, sigmaMargin+math.Sqrt(2*math.Log(draws)))
}

// loadStdDev returns the standard deviation of the busiest rank's load, relative to the mean load, for shares that are
// estimated from the given number of independent tokens.
func (p *Planner) loadStdDev(ranks [][]int, shares []float64, tokens float64) float64 {
	replicas := make([]float64, len(shares))
	for _, slots := range ranks {
		for _, e := range slots {
			replicas[e]++
		}
	}
	maxLoad, variance := -1.0, 0.0
	for _, slots := range ranks {
		load, sum := 0.0, 0.0
		for _, e := range slots {
			load += shares[e] / replicas[e]
			sum += shares[e] / (replicas[e] * replicas[e])
		}
		if load > maxLoad {
			maxLoad, variance = load, sum
		}
	}
	return float64(len(ranks)) * math.Sqrt(variance/tokens)
}
