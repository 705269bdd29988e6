package expert

import (
	"cmp"
	"slices"
)

// reach is the number of light ranks that are considered for another replica.
const reach = 6

// placement is one layer's map under improvement, with loads in units of the mean rank's.
type placement struct {
	layer    int
	ranks    [][]int
	shares   []float64 // times the number of ranks
	holders  [][]int   // ranks by expert, once for each slot
	loads    []float64
	powers   []float64
	lightest []int     // ranks by load, nil until asked for
	change   []float64 // scratch: change of load by rank
	left     []bool    // by expert and rank: taken from it by an earlier change
	locked   []bool    // by expert and rank: put on it by an escape
	touched  []int     // scratch: ranks with a change
	base     [][]int   // the map that the improvement began with
	spare    int       // experts beyond base that a rank may get, 0 for no limit
	free     int       // number from which experts stand for free slots, 0 for none
}

func newPlacement(layer int, ranks [][]int, shares []float64) *placement {
	p := &placement{
		layer:   layer,
		ranks:   ranks,
		shares:  make([]float64, len(shares)),
		holders: make([][]int, len(shares)),
		loads:   make([]float64, len(ranks)),
		powers:  make([]float64, len(ranks)),
		change:  make([]float64, len(ranks)),
		left:    make([]bool, len(ranks)*len(shares)),
		locked:  make([]bool, len(ranks)*len(shares)),
	}
	for e, s := range shares {
		p.shares[e] = s * float64(len(ranks))
	}
	for r, slots := range ranks {
		for _, e := range slots {
			p.holders[e] = append(p.holders[e], r)
		}
	}
	p.sum()
	return p
}

func (p *placement) sum() {
	for r, slots := range p.ranks {
		load := 0.0
		for _, e := range slots {
			load += p.part(e)
		}
		p.loads[r] = load
		p.powers[r] = power(load)
	}
}

// part returns the load of one replica of the expert.
func (p *placement) part(e int) float64 {
	return p.shares[e] / float64(len(p.holders[e]))
}

func (p *placement) busiest() int {
	busiest := 0
	for r, l := range p.loads {
		if l > p.loads[busiest] {
			busiest = r
		}
	}
	return busiest
}

func (p *placement) skew() float64 {
	return p.loads[p.busiest()]
}

// heaviest returns the slot of the rank with the greatest load.
func (p *placement) heaviest(rank int) int {
	heaviest := 0
	for slot, e := range p.ranks[rank] {
		if p.part(e) > p.part(p.ranks[rank][heaviest]) {
			heaviest = slot
		}
	}
	return heaviest
}

// at returns the place of a pair of expert and rank in left and locked.
func (p *placement) at(expert, rank int) int {
	return expert*len(p.ranks) + rank
}

// light returns the few ranks with the least load.
func (p *placement) light() []int {
	if p.lightest == nil {
		for r := range p.loads {
			p.lightest = append(p.lightest, r)
		}
		slices.SortStableFunc(p.lightest, func(a, b int) int { return cmp.Compare(p.loads[a], p.loads[b]) })
	}
	return p.lightest[:min(reach, len(p.lightest))]
}

// crowds tells whether putting expert into the slot gives the rank more experts beyond base than it may get.
func (p *placement) crowds(rank, slot, expert int) bool {
	if p.spare == 0 || p.vacant(expert) {
		return false
	}
	added := 0
	for i, e := range p.ranks[rank] {
		if i == slot {
			e = expert
		}
		if !p.vacant(e) && !holds(p.base[rank], e) {
			added++
		}
	}
	return added > p.spare
}

// vacant tells whether the expert stands for a free slot.
func (p *placement) vacant(expert int) bool {
	return p.free > 0 && expert >= p.free
}

func (p *placement) put(rank, slot, expert int) Move {
	old := p.ranks[rank][slot]
	i := slices.Index(p.holders[old], rank)
	p.holders[old] = slices.Delete(p.holders[old], i, i+1)
	p.holders[expert] = append(p.holders[expert], rank)
	p.ranks[rank][slot] = expert
	p.left[p.at(old, rank)] = true
	return Move{Layer: p.layer, Rank: rank, Slot: slot, Expert: expert}
}

// power returns x to the sixteenth power, which stresses the busiest ranks.
func power(x float64) float64 {
	x *= x
	x *= x
	x *= x
	return x * x
}
