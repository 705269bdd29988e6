package expert

import (
	"slices"
)

// maxLightRanks is the number of least loaded ranks that are considered for another replica.
const maxLightRanks = 6

// placement is the map of one layer during the search; loads are relative to the mean load of a rank.
type placement struct {
	layer            int
	ranks            [][]int
	shares           []float64 // share of the tokens times the number of ranks, by expert
	holders          [][]int   // by expert: ranks that have it, once per slot
	loads            []float64
	powers           []float64    // power16 of each rank's load; the search reduces their sum
	others           []demandCase // other demands that the placement is made for, empty for the present one only
	replicaLoads     []float64    // load of one replica, by expert
	ranksByLoad      []int        // maxLightRanks ranks, least loaded first; nil until they are needed
	loadChange       []float64    // scratch: change of load, by rank
	removed          []bool       // by expert and rank: removed from the rank by an earlier change
	locked           []bool       // by expert and rank: added by escapeLocalMinimum
	changedRanks     []int        // scratch: ranks whose load changes
	initial          [][]int      // map at the start of the search
	maxAdded         int          // experts that a rank may get beyond those in initial, 0 for no limit
	firstPlaceholder int          // lowest expert number that stands for a free slot, 0 for none
}

func newPlacement(layer int, ranks [][]int, shares []float64) *placement {
	p := &placement{
		layer:        layer,
		ranks:        ranks,
		shares:       make([]float64, len(shares)),
		holders:      make([][]int, len(shares)),
		loads:        make([]float64, len(ranks)),
		replicaLoads: make([]float64, len(shares)),
		powers:       make([]float64, len(ranks)),
		loadChange:   make([]float64, len(ranks)),
		removed:      make([]bool, len(ranks)*len(shares)),
		locked:       make([]bool, len(ranks)*len(shares)),
	}
	for e, s := range shares {
		p.shares[e] = s * float64(len(ranks))
	}
	for r, slots := range ranks {
		for _, e := range slots {
			p.holders[e] = append(p.holders[e], r)
		}
	}
	p.updateReplicaLoads()
	p.updateLoads()
	return p
}

func (p *placement) updateLoads() {
	for r, slots := range p.ranks {
		load := 0.0
		for _, e := range slots {
			load += p.replicaLoad(e)
		}
		p.loads[r] = load
		p.powers[r] = power16(load)
	}
}

// replicaLoad returns the load of one replica of the expert.
func (p *placement) replicaLoad(e int) float64 {
	return p.replicaLoads[e]
}

func (p *placement) updateReplicaLoads() {
	for e := range p.replicaLoads {
		p.replicaLoads[e] = p.loadOfReplicas(e, len(p.holders[e]))
	}
}

// loadOfReplicas returns the load of one replica of the expert if it had the given number of replicas.
func (p *placement) loadOfReplicas(e, replicas int) float64 {
	if p.shares[e] == 0 {
		return 0 // also for a free slot, which may have no replica
	}
	return p.shares[e] / float64(replicas)
}

// isSpare reports whether a replica of the expert can be removed.
func (p *placement) isSpare(e int) bool {
	return len(p.holders[e]) > 1 || p.isPlaceholder(e)
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

// heaviestSlot returns the slot of the rank's expert with the highest load.
func (p *placement) heaviestSlot(rank int) int {
	heaviest := 0
	for slot, e := range p.ranks[rank] {
		if p.replicaLoad(e) > p.replicaLoad(p.ranks[rank][heaviest]) {
			heaviest = slot
		}
	}
	return heaviest
}

// pairIndex returns the index of an expert and a rank in removed and locked.
func (p *placement) pairIndex(expert, rank int) int {
	return expert*len(p.ranks) + rank
}

// lightestRanks returns the maxLightRanks ranks with the lowest load.
func (p *placement) lightestRanks() []int {
	if p.ranksByLoad != nil {
		return p.ranksByLoad
	}
	lightest := make([]int, 0, maxLightRanks+1)
	for r, load := range p.loads {
		if len(lightest) == maxLightRanks && load >= p.loads[lightest[maxLightRanks-1]] {
			continue
		}
		at := len(lightest)
		for at > 0 && load < p.loads[lightest[at-1]] {
			at--
		}
		lightest = slices.Insert(lightest, at, r)
		lightest = lightest[:min(len(lightest), maxLightRanks)]
	}
	p.ranksByLoad = lightest
	return lightest
}

// exceedsAdded reports whether placing the expert in the slot would give the rank more than maxAdded new experts.
func (p *placement) exceedsAdded(rank, slot, expert int) bool {
	if p.maxAdded == 0 || p.isPlaceholder(expert) {
		return false
	}
	added := 0
	for i, e := range p.ranks[rank] {
		if i == slot {
			e = expert
		}
		if !p.isPlaceholder(e) && !contains(p.initial[rank], e) {
			added++
		}
	}
	return added > p.maxAdded
}

// isPlaceholder reports whether the expert stands for a free slot.
func (p *placement) isPlaceholder(expert int) bool {
	return p.firstPlaceholder > 0 && expert >= p.firstPlaceholder
}

func (p *placement) assign(rank, slot, expert int) Move {
	old := p.ranks[rank][slot]
	i := slices.Index(p.holders[old], rank)
	p.holders[old] = slices.Delete(p.holders[old], i, i+1)
	p.holders[expert] = append(p.holders[expert], rank)
	p.ranks[rank][slot] = expert
	p.replicaLoads[old] = p.loadOfReplicas(old, len(p.holders[old]))
	p.replicaLoads[expert] = p.loadOfReplicas(expert, len(p.holders[expert]))
	for i := range p.others {
		c := &p.others[i]
		c.replicaLoads[old] = c.replicaLoad(old, len(p.holders[old]))
		c.replicaLoads[expert] = c.replicaLoad(expert, len(p.holders[expert]))
	}
	p.removed[p.pairIndex(old, rank)] = true
	return Move{Layer: p.layer, Rank: rank, Slot: slot, Expert: expert}
}

// power16 returns x to the sixteenth power, which lets the busiest ranks dominate the score.
func power16(x float64) float64 {
	x *= x
	x *= x
	x *= x
	return x * x
}
