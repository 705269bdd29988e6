package expert

import (
	"math"
)

// Change is one move or an exchange of two experts; its moves are applied together.
type Change struct {
	Moves []Move
	Gain  float64 // reduction of its layer's skew
}

// maxUnimproved is the number of worsening changes that a search makes without reaching a new lowest skew.
const maxUnimproved = 3

// candidate is a change under consideration; otherRank is -1 for a single move and set for an exchange.
type candidate struct {
	rank, slot           int
	otherRank, otherSlot int
	expert               int
	score                float64 // reduction of the sum of placement.powers per move
}

// improve repeatedly applies the change for the busiest rank with the highest score, until the skew reaches the target or no
// moves are left.
//
// In a local minimum it adds a replica of the busiest rank's heaviest expert, or applies the least harmful change, and
// continues from there; it never returns an expert to a rank that it was removed from. After several such changes
// without a new lowest skew it stops, and the caller truncates the changes that gained nothing.
func (p *placement) improve(targetSkew float64, movesLeft int) []Change {
	var changes []Change
	p.focus()
	lowest := p.skew()
	unimproved := 0
	for p.skew() > targetSkew && movesLeft > 0 {
		before := p.skew()
		c := p.bestChange()
		if c.score <= 0 {
			unimproved++
			c = p.escapeLocalMinimum(c, unimproved)
		}
		if math.IsInf(c.score, -1) || unimproved > maxUnimproved {
			break
		}
		moves := p.apply(c)
		changes = append(changes, Change{Moves: moves, Gain: before - p.skew()})
		movesLeft -= len(moves)
		if p.skew() < lowest {
			lowest = p.skew()
			unimproved = 0
		}
	}
	return changes
}

// bestChange returns the change that reduces the sum of powers most per move; its score is -Inf if there is none.
func (p *placement) bestChange() candidate {
	busiest := p.busiest()
	best := candidate{score: math.Inf(-1)}
	keep := p.keepBest(&best)
	for slot := range p.ranks[busiest] {
		p.considerExchanges(busiest, slot, &best, keep)
		p.considerReplicas(busiest, slot, keep)
		p.considerReplacements(busiest, slot, keep)
	}
	return best
}

// escapeLocalMinimum returns another replica of the busiest rank's heaviest expert on odd attempts if there is a place for it,
// and the fallback otherwise.
func (p *placement) escapeLocalMinimum(fallback candidate, attempt int) candidate {
	if attempt%2 == 0 {
		return fallback
	}
	busiest := p.busiest()
	split := candidate{score: math.Inf(-1)}
	p.considerReplicas(busiest, p.heaviestSlot(busiest), p.keepBest(&split))
	if math.IsInf(split.score, -1) {
		return fallback
	}
	p.locked[p.pairIndex(split.expert, split.rank)] = true
	return split
}

func (p *placement) keepBest(best *candidate) func(candidate) {
	return func(c candidate) {
		if c.score <= best.score || p.isForbidden(c) {
			return
		}
		if score, ok := p.isHarmless(c, best.score); ok {
			c.score = score
			*best = c
		}
	}
}

// isForbidden reports whether the change exceeds the limit of added experts, returns an expert to a rank that it was
// removed from, or removes a replica added by escapeLocalMinimum.
func (p *placement) isForbidden(c candidate) bool {
	old := p.ranks[c.rank][c.slot]
	if p.exceedsAdded(c.rank, c.slot, c.expert) || (c.otherRank >= 0 && p.exceedsAdded(c.otherRank, c.otherSlot, old)) {
		return true
	}
	if p.removed[p.pairIndex(c.expert, c.rank)] || p.locked[p.pairIndex(old, c.rank)] {
		return true
	}
	if c.otherRank < 0 {
		return false
	}
	return p.removed[p.pairIndex(old, c.otherRank)] || p.locked[p.pairIndex(c.expert, c.otherRank)]
}

// considerExchanges considers exchanging the expert in a slot of the busiest rank for a lighter one of another rank; best is
// the candidate that keep has kept.
func (p *placement) considerExchanges(busiest, slot int, best *candidate, keep func(candidate)) {
	heavy := p.ranks[busiest][slot]
	heavyLoad := p.replicaLoad(heavy)
	for r := range p.ranks {
		if r == busiest || contains(p.ranks[r], heavy) {
			continue
		}
		powers := p.powers[busiest] + p.powers[r]
		for i, light := range p.ranks[r] {
			excess := heavyLoad - p.replicaLoad(light)
			if excess <= 0 {
				continue
			}
			after := power16(p.loads[busiest]-excess) + power16(p.loads[r]+excess)
			score := (powers - after) / 2
			if score > best.score && !contains(p.ranks[busiest], light) {
				keep(candidate{rank: busiest, slot: slot, otherRank: r, otherSlot: i, expert: light, score: score})
			}
		}
	}
}

// considerReplicas considers replacing a redundant replica on a light rank by the expert in a slot of the busiest rank.
func (p *placement) considerReplicas(busiest, slot int, keep func(candidate)) {
	hot := p.ranks[busiest][slot]
	for _, r := range p.lightestRanks() {
		if r == busiest || contains(p.ranks[r], hot) {
			continue
		}
		for i, spare := range p.ranks[r] {
			if p.isSpare(spare) {
				keep(candidate{rank: r, slot: i, otherRank: -1, expert: hot, score: p.replacementGain(r, spare, hot)})
			}
		}
	}
}

// considerReplacements considers replacing a redundant replica in a slot of the busiest rank by a lighter expert.
func (p *placement) considerReplacements(busiest, slot int, keep func(candidate)) {
	spare := p.ranks[busiest][slot]
	if !p.isSpare(spare) {
		return
	}
	for e := range p.shares {
		if p.replicaLoad(e) < p.replicaLoad(spare) && !contains(p.ranks[busiest], e) {
			keep(candidate{rank: busiest, slot: slot, otherRank: -1, expert: e, score: p.replacementGain(busiest, spare, e)})
		}
	}
}

// replacementGain returns the reduction of the sum of powers if the rank replaces one expert by another.
func (p *placement) replacementGain(rank, out, in int) float64 {
	outLoad := p.loadOfReplicas(out, len(p.holders[out])-1)
	inLoad := p.loadOfReplicas(in, len(p.holders[in])+1)
	p.changedRanks = p.changedRanks[:0]
	for _, r := range p.holders[out] {
		p.shiftLoad(r, outLoad-p.replicaLoad(out))
	}
	for _, r := range p.holders[in] {
		p.shiftLoad(r, inLoad-p.replicaLoad(in))
	}
	p.shiftLoad(rank, inLoad-outLoad)
	gain := 0.0
	for _, r := range p.changedRanks {
		gain += p.powers[r] - power16(max(p.loads[r]+p.loadChange[r], 0))
		p.loadChange[r] = 0
	}
	return gain
}

// shiftLoad adds to the change of a rank's load and lists the rank in changedRanks. A sum of zero is replaced by the smallest
// nonzero number, so that the rank is not listed twice.
func (p *placement) shiftLoad(rank int, by float64) {
	if p.loadChange[rank] == 0 {
		p.changedRanks = append(p.changedRanks, rank)
	}
	p.loadChange[rank] += by
	if p.loadChange[rank] == 0 {
		p.loadChange[rank] = math.SmallestNonzeroFloat64
	}
}

func (p *placement) apply(c candidate) []Move {
	heavy := p.ranks[c.rank][c.slot]
	moves := []Move{p.assign(c.rank, c.slot, c.expert)}
	if c.otherRank >= 0 {
		moves = append(moves, p.assign(c.otherRank, c.otherSlot, heavy))
	}
	p.updateLoads()
	p.updateOthers(p.affectedRanks(c, heavy))
	p.ranksByLoad = nil
	p.focus()
	return moves
}

// affectedRanks returns the ranks whose loads a change of two experts' replicas affects, which may repeat; nil if no other
// cases need them.
func (p *placement) affectedRanks(c candidate, old int) []int {
	if len(p.others) == 0 {
		return nil
	}
	ranks := append(p.changedRanks[:0], c.rank)
	if c.otherRank >= 0 {
		ranks = append(ranks, c.otherRank)
	} else {
		ranks = append(ranks, p.holders[old]...)
		ranks = append(ranks, p.holders[c.expert]...)
	}
	p.changedRanks = ranks
	return ranks
}
