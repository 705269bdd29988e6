package expert

import "math"

// Constants of the estimate.
const (
	memory     = 16 // steps that the comparison of decays looks back
	clip       = 4  // one step raises the noise by at most this factor of itself
	early      = 4  // lines after which half of the caution is gone
	priorLines = 2  // lines that the assumption of Poisson noise is worth
)

// estimate follows the popularity of one layer's experts by several decayed sums and
// trusts the one that has predicted best lately.
type estimate struct {
	sums   []decayed
	last   []float64 // shares of the newest line
	tokens float64   // tokens of the newest line
	noise  float64   // variance of counts over that of independent tokens
	lines  float64   // lines that the noise was drawn from
	count  float64   // lines with tokens
}

type decayed struct {
	keep    float64 // part of the weight that remains after a step
	counts  []float64
	tokens  float64
	squares float64 // tokens by the squares of their weights
	miss    float64 // decayed sum of squared prediction errors
}

func newEstimate(decays []float64, experts int) *estimate {
	e := &estimate{noise: 1, lines: priorLines}
	for _, d := range decays {
		e.sums = append(e.sums, decayed{keep: 1 - d, counts: make([]float64, experts)})
	}
	return e
}

// add takes the counts of a new step that is gap steps after the newest.
func (e *estimate) add(counts []int64, gap uint64) {
	shares := Shares(counts)
	for i := range e.sums {
		e.sums[i].age(gap)
	}
	if shares == nil {
		return
	}
	e.count++
	tokens := total(counts)
	for i := range e.sums {
		e.sums[i].judge(shares, tokens)
		e.sums[i].add(counts, tokens, 1)
	}
	e.measure(shares, tokens)
}

// caution returns the factor by which noise counts more while lines are few, since each line then
// is nearly a new draw of all shares.
func (e *estimate) caution() float64 {
	return 1 + early/(early+e.count)
}

// late takes the counts of a step that is age steps before the newest.
func (e *estimate) late(counts []int64, age uint64) {
	tokens := total(counts)
	for i := range e.sums {
		e.sums[i].add(counts, tokens, math.Pow(e.sums[i].keep, float64(age)))
	}
}

// measure compares two lines that follow each other: what differs is noise, but for a part that drifts.
func (e *estimate) measure(shares []float64, tokens float64) {
	if e.last != nil {
		distance, spread := 0.0, 1.0
		for i, p := range shares {
			distance += (p - e.last[i]) * (p - e.last[i])
			spread -= p * p
		}
		weight := tokens * e.tokens / (tokens + e.tokens)
		seen := min(distance*weight/max(spread, 1e-9), clip*e.noise)
		e.lines = min(e.lines+1, memory)
		e.noise += (seen - e.noise) / e.lines
	}
	e.last = shares
	e.tokens = tokens
}

// best returns the shares by the decay that has predicted best and the number of tokens that they rest on.
func (e *estimate) best() (shares []float64, tokens float64) {
	best := 0
	for i := range e.sums {
		if e.sums[i].miss < e.sums[best].miss {
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
	return shares, d.tokens * d.tokens / d.squares
}

func (d *decayed) age(gap uint64) {
	keep := math.Pow(d.keep, float64(gap))
	d.tokens *= keep
	d.squares *= keep * keep
	for i := range d.counts {
		d.counts[i] *= keep
	}
	if d.tokens < 1e-6 {
		d.tokens, d.squares = 0, 0
		clear(d.counts)
	}
}

func (d *decayed) judge(shares []float64, tokens float64) {
	if d.tokens == 0 {
		return
	}
	miss := 0.0
	for i, p := range shares {
		off := p - d.counts[i]/d.tokens
		miss += off * off
	}
	d.miss += (tokens*miss - d.miss) / memory
}

func (d *decayed) add(counts []int64, tokens, weight float64) {
	d.tokens += weight * tokens
	d.squares += weight * weight * tokens
	for i, c := range counts {
		d.counts[i] += weight * float64(c)
	}
}

func total(counts []int64) float64 {
	sum := 0.0
	for _, c := range counts {
		sum += float64(c)
	}
	return sum
}
