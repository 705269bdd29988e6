package expert

import (
	"math"
)

// Stage is a change that is made whole or not at all: one load or an exchange of two experts.
type Stage struct {
	Moves []Move
	Gain  float64 // skew that the stage takes from its layer
}

// patience is the number of changes for the worse that a search makes without a new lowest skew.
const patience = 3

// candidate is a change under consideration; other is -1 where it is a load and not an exchange.
type candidate struct {
	rank, slot   int
	other, place int
	expert       int
	score        float64 // fall of the sum of powers for each load
}

// improve makes the best change for the busiest rank, load for load, until the skew reaches the goal
// or the loads are spent.
//
// Where no change helps at once it splits the heaviest expert of the busiest rank further, or makes the
// least bad change, never back to what it undid, and goes on from there; after several such changes
// without a new lowest skew it gives up, and the caller cuts what gained nothing.
func (p *placement) improve(goal float64, loads int) []Stage {
	var stages []Stage
	lowest := p.skew()
	stuck := 0
	for p.skew() > goal && loads > 0 {
		before := p.skew()
		c := p.best()
		if c.score <= 0 {
			stuck++
			c = p.escape(c, stuck)
		}
		if math.IsInf(c.score, -1) || stuck > patience {
			break
		}
		moves := p.apply(c)
		stages = append(stages, Stage{Moves: moves, Gain: before - p.skew()})
		loads -= len(moves)
		if p.skew() < lowest {
			lowest = p.skew()
			stuck = 0
		}
	}
	return stages
}

// best returns the change that lowers the sum of powers most for each load, with an infinitely low score where there is none.
func (p *placement) best() candidate {
	busy := p.busiest()
	best := candidate{score: math.Inf(-1)}
	keep := p.keep(&best)
	for slot := range p.ranks[busy] {
		p.exchanges(busy, slot, keep)
		p.replicas(busy, slot, keep)
		p.replacements(busy, slot, keep)
	}
	return best
}

// escape returns, in turn, another replica of the busiest rank's heaviest expert and the least bad change.
func (p *placement) escape(least candidate, turn int) candidate {
	if turn%2 == 0 {
		return least
	}
	busy := p.busiest()
	split := candidate{score: math.Inf(-1)}
	p.replicas(busy, p.heaviest(busy), p.keep(&split))
	if math.IsInf(split.score, -1) {
		return least
	}
	p.locked[p.at(split.expert, split.rank)] = true
	return split
}

func (p *placement) keep(best *candidate) func(candidate) {
	return func(c candidate) {
		if c.score > best.score && !p.banned(c) {
			*best = c
		}
	}
}

// banned says whether the change puts an expert back on a rank that it was taken from,
// or takes away a replica that an escape has made.
func (p *placement) banned(c candidate) bool {
	old := p.ranks[c.rank][c.slot]
	if p.crowds(c.rank, c.slot, c.expert) || (c.other >= 0 && p.crowds(c.other, c.place, old)) {
		return true
	}
	if p.left[p.at(c.expert, c.rank)] || p.locked[p.at(old, c.rank)] {
		return true
	}
	if c.other < 0 {
		return false
	}
	return p.left[p.at(old, c.other)] || p.locked[p.at(c.expert, c.other)]
}

// exchanges considers trading the expert in a busy slot for a lighter one of another rank.
func (p *placement) exchanges(busy, slot int, keep func(candidate)) {
	heavy := p.ranks[busy][slot]
	for r := range p.ranks {
		if r == busy || holds(p.ranks[r], heavy) {
			continue
		}
		for i, light := range p.ranks[r] {
			less := p.part(heavy) - p.part(light)
			if less <= 0 || holds(p.ranks[busy], light) {
				continue
			}
			after := power(p.loads[busy]-less) + power(p.loads[r]+less)
			fall := p.powers[busy] + p.powers[r] - after
			keep(candidate{rank: busy, slot: slot, other: r, place: i, expert: light, score: fall / 2})
		}
	}
}

// replicas considers another replica of the expert in a busy slot, in place of a spare replica on a light rank.
func (p *placement) replicas(busy, slot int, keep func(candidate)) {
	hot := p.ranks[busy][slot]
	for _, r := range p.light() {
		if r == busy || holds(p.ranks[r], hot) {
			continue
		}
		for i, spare := range p.ranks[r] {
			if len(p.holders[spare]) > 1 {
				keep(candidate{rank: r, slot: i, other: -1, expert: hot, score: p.replaced(r, spare, hot)})
			}
		}
	}
}

// replacements considers putting a lighter expert in the place of a spare replica in a busy slot.
func (p *placement) replacements(busy, slot int, keep func(candidate)) {
	spare := p.ranks[busy][slot]
	if len(p.holders[spare]) < 2 {
		return
	}
	for e := range p.shares {
		if p.part(e) < p.part(spare) && !holds(p.ranks[busy], e) {
			keep(candidate{rank: busy, slot: slot, other: -1, expert: e, score: p.replaced(busy, spare, e)})
		}
	}
}

// replaced returns the fall of the sum of powers when the rank loads one expert over another.
func (p *placement) replaced(rank, out, in int) float64 {
	fewer := p.shares[out] / float64(len(p.holders[out])-1)
	more := p.shares[in] / float64(len(p.holders[in])+1)
	p.touched = p.touched[:0]
	for _, r := range p.holders[out] {
		p.shift(r, fewer-p.part(out))
	}
	for _, r := range p.holders[in] {
		p.shift(r, more-p.part(in))
	}
	p.shift(rank, more-fewer)
	fall := 0.0
	for _, r := range p.touched {
		fall += p.powers[r] - power(max(p.loads[r]+p.change[r], 0))
		p.change[r] = 0
	}
	return fall
}

func (p *placement) shift(rank int, by float64) {
	if p.change[rank] == 0 {
		p.touched = append(p.touched, rank)
	}
	p.change[rank] += by
	if p.change[rank] == 0 {
		p.change[rank] = math.SmallestNonzeroFloat64
	}
}

func (p *placement) apply(c candidate) []Move {
	heavy := p.ranks[c.rank][c.slot]
	moves := []Move{p.put(c.rank, c.slot, c.expert)}
	if c.other >= 0 {
		moves = append(moves, p.put(c.other, c.place, heavy))
	}
	p.sum()
	p.lightest = nil
	return moves
}
