package expert

// demandCase is the load of the ranks under one demand that a placement is made for, relative to the mean load of a rank.
type demandCase struct {
	shares       []float64 // share of the tokens times the number of ranks, by expert
	replicaLoads []float64 // load of one replica, by expert
	loads        []float64
	powers       []float64 // power16 of each rank's load
}

// newDemandCase returns a case whose loads count as the given fraction of those of the present demand.
func newDemandCase(ranks int, shares []float64, fraction float64) demandCase {
	c := demandCase{shares: make([]float64, len(shares)), replicaLoads: make([]float64, len(shares)), loads: make([]float64, ranks), powers: make([]float64, ranks)}
	for e, s := range shares {
		c.shares[e] = s * float64(ranks) * fraction
	}
	return c
}

// addCases adds the demands of regimes that may return.
func (p *placement) addCases(cases []regimeCase) {
	if len(cases) == 0 {
		return
	}
	ranks := make([]int, len(p.ranks))
	for r := range ranks {
		ranks[r] = r
	}
	for _, c := range cases {
		p.others = append(p.others, newDemandCase(len(p.ranks), c.shares, returnFraction))
	}
	for i := range p.others {
		for e, holders := range p.holders {
			p.others[i].replicaLoads[e] = p.others[i].replicaLoad(e, len(holders))
		}
	}
	p.updateOthers(ranks)
}

// focus makes the case with the busiest rank the one that the search improves; the others limit the harm of each change.
func (p *placement) focus() {
	worst, highest := -1, p.loads[p.busiest()]
	for i := range p.others {
		for _, l := range p.others[i].loads {
			if l > highest {
				worst, highest = i, l
			}
		}
	}
	if worst < 0 {
		return
	}
	c := &p.others[worst]
	p.shares, c.shares = c.shares, p.shares
	p.loads, c.loads = c.loads, p.loads
	p.powers, c.powers = c.powers, p.powers
	p.replicaLoads, c.replicaLoads = c.replicaLoads, p.replicaLoads
	p.ranksByLoad = nil
}

// updateOthers recomputes the loads of the ranks in the cases that are not in focus.
func (p *placement) updateOthers(ranks []int) {
	for i := range p.others {
		c := &p.others[i]
		for _, r := range ranks {
			load := 0.0
			for _, e := range p.ranks[r] {
				load += c.replicaLoads[e]
			}
			c.loads[r] = load
			c.powers[r] = power16(load)
		}
	}
}

// replicaLoad returns the load of one replica of the expert if it had the given number of replicas.
func (d *demandCase) replicaLoad(e, replicas int) float64 {
	if d.shares[e] == 0 {
		return 0 // also for a free slot, which may have no replica
	}
	return d.shares[e] / float64(replicas)
}

// isHarmless reports whether the change keeps a score above least after the increases of the sums of powers of the cases
// that are not in focus, and returns that score.
func (p *placement) isHarmless(c candidate, least float64) (score float64, ok bool) {
	score = c.score
	old := p.ranks[c.rank][c.slot]
	for i := range p.others {
		if c.otherRank >= 0 {
			score -= max(0, p.exchangeHarm(&p.others[i], c, old)/2)
		} else {
			score -= max(0, p.replacementHarm(&p.others[i], c.rank, old, c.expert))
		}
		if score <= least {
			return score, false
		}
	}
	return score, true
}

func (p *placement) exchangeHarm(d *demandCase, c candidate, old int) float64 {
	excess := d.replicaLoads[old] - d.replicaLoads[c.expert]
	return d.harm(c.rank, -excess) + d.harm(c.otherRank, excess)
}

// replacementHarm counts a rank that holds both experts twice, which is close enough to compare changes.
func (p *placement) replacementHarm(d *demandCase, rank, out, in int) float64 {
	outHolders, inHolders := p.holders[out], p.holders[in]
	outLoad, inLoad := d.replicaLoads[out], d.replicaLoad(in, len(inHolders)+1)
	outChange, inChange := 0.0, inLoad-d.replicaLoads[in]
	if len(inHolders) == 0 {
		inChange = 0
	}
	if len(outHolders) > 1 {
		outChange = d.replicaLoad(out, len(outHolders)-1) - outLoad
	}
	harm := d.harm(rank, inLoad-outLoad)
	for _, r := range outHolders {
		if r != rank {
			harm += d.harm(r, outChange)
		}
	}
	for _, r := range inHolders {
		harm += d.harm(r, inChange)
	}
	return harm
}

// harm returns the increase of the sum of powers if the load of the rank changes.
func (d *demandCase) harm(rank int, change float64) float64 {
	return power16(max(d.loads[rank]+change, 0)) - d.powers[rank]
}
