package expert

import "math"

// Constants of the popularity estimate, in reports unless noted.
const (
	averagingWindow = 16 // over which prediction errors and noise are averaged
	maxNoiseGrowth  = 4  // factor: one report's noise counts as at most this multiple of the estimate
	cautionHalfLife = 4  // after which half of the extra caution is gone
	priorReports    = 2  // weight of the initial assumption of Poisson noise
)

// estimate tracks the popularity of one layer's experts by decayed sums with different
// decays and uses the one with the lowest recent prediction error.
type estimate struct {
	sums           []decayed
	lastShares     []float64 // shares of the newest report
	lastTokens     float64   // tokens of the newest report
	overdispersion float64   // variance of the counts relative to that of independent tokens
	noiseReports   float64   // number of reports over which overdispersion is averaged
	reports        float64   // number of reports with tokens
}

type decayed struct {
	retention       float64 // fraction of the weight that remains after a step
	counts          []float64
	tokens          float64
	squaredWeights  float64 // sum of the tokens of each step times the square of its weight
	predictionError float64 // moving average of the squared prediction error, weighted by tokens
}

func newEstimate(decays []float64, experts int) *estimate {
	e := &estimate{overdispersion: 1, noiseReports: priorReports}
	for _, d := range decays {
		e.sums = append(e.sums, decayed{retention: 1 - d, counts: make([]float64, experts)})
	}
	return e
}

// add adds the counts of a new step that is gap steps after the newest one.
func (e *estimate) add(counts []int64, gap uint64) {
	shares := Shares(counts)
	for i := range e.sums {
		e.sums[i].decay(gap)
	}
	if shares == nil {
		return
	}
	e.reports++
	tokens := totalTokens(counts)
	for i := range e.sums {
		e.sums[i].scorePrediction(shares, tokens)
		e.sums[i].add(counts, tokens, 1)
	}
	e.updateNoise(shares, tokens)
}

// caution returns the factor, above 1, that raises the noise threshold while there are few reports. Successive estimates are
// then nearly independent draws, each of which may exceed the threshold by chance.
func (e *estimate) caution() float64 {
	return 1 + cautionHalfLife/(cautionHalfLife+e.reports)
}

// addLate adds the counts of a step that is age steps before the newest one.
func (e *estimate) addLate(counts []int64, age uint64) {
	tokens := totalTokens(counts)
	for i := range e.sums {
		e.sums[i].add(counts, tokens, math.Pow(e.sums[i].retention, float64(age)))
	}
}

// updateNoise updates overdispersion from the difference of two successive reports, which is noise plus a little drift.
func (e *estimate) updateNoise(shares []float64, tokens float64) {
	if e.lastShares != nil {
		distance, spread := 0.0, 1.0
		for i, p := range shares {
			distance += (p - e.lastShares[i]) * (p - e.lastShares[i])
			spread -= p * p
		}
		weight := tokens * e.lastTokens / (tokens + e.lastTokens)
		observed := min(distance*weight/max(spread, 1e-9), maxNoiseGrowth*e.overdispersion)
		e.noiseReports = min(e.noiseReports+1, averagingWindow)
		e.overdispersion += (observed - e.overdispersion) / e.noiseReports
	}
	e.lastShares = shares
	e.lastTokens = tokens
}

// best returns the shares of the decayed sum with the lowest prediction error, and the effective number of tokens in that sum.
func (e *estimate) best() (shares []float64, tokens float64) {
	best := 0
	for i := range e.sums {
		if e.sums[i].predictionError < e.sums[best].predictionError {
			best = i
		}
	}
	d := &e.sums[best]
	if d.tokens == 0 {
		return nil, 0
	}
	shares = make([]float64, len(d.counts))
	for i, c := range d.counts {
		shares[i] = c / d.tokens
	}
	return shares, d.tokens * d.tokens / d.squaredWeights
}

func (d *decayed) decay(gap uint64) {
	retention := math.Pow(d.retention, float64(gap))
	d.tokens *= retention
	d.squaredWeights *= retention * retention
	for i := range d.counts {
		d.counts[i] *= retention
	}
	if d.tokens < 1e-6 {
		d.tokens, d.squaredWeights = 0, 0
		clear(d.counts)
	}
}

func (d *decayed) scorePrediction(shares []float64, tokens float64) {
	if d.tokens == 0 {
		return
	}
	squaredError := 0.0
	for i, p := range shares {
		diff := p - d.counts[i]/d.tokens
		squaredError += diff * diff
	}
	d.predictionError += (tokens*squaredError - d.predictionError) / averagingWindow
}

func (d *decayed) add(counts []int64, tokens, weight float64) {
	d.tokens += weight * tokens
	d.squaredWeights += weight * weight * tokens
	for i, c := range counts {
		d.counts[i] += weight * float64(c)
	}
}

func totalTokens(counts []int64) float64 {
	sum := 0.0
	for _, c := range counts {
		sum += float64(c)
	}
	return sum
}
