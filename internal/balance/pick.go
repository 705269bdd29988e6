package balance

// maxConsidered is the maximum number of candidates that one pick compares.
const maxConsidered = 16

// pickState is the state of one pick.
type pickState struct {
	info       PickInfo
	candidates []Candidate
	config     PickerConfig
	freeOnly   bool               // only candidates with free slots are eligible
	meanLoad   float64            // mean load of the eligible candidates, in tokens
	considered [maxConsidered]int // indices of the candidates compared so far
	count      int                // candidates in considered
	best       int                // index of the candidate with the lowest cost, -1 for none
	bestCost   float64            // cost of best, in tokens
}

// computeMeanLoad sets freeOnly if any candidate has free slots, and meanLoad to the mean load of the eligible candidates.
func (p *pickState) computeMeanLoad() {
	var all, free float64
	var allCount, freeCount int
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.allowed(c) {
			continue
		}
		load := p.load(c)
		all += load
		allCount++
		if full(c) {
			continue
		}
		free += load
		freeCount++
	}
	p.freeOnly = freeCount > 0
	if p.freeOnly {
		p.meanLoad = free / float64(freeCount)
		return
	}
	if allCount > 0 {
		p.meanLoad = all / float64(allCount)
	}
}

// full reports whether c has no free slots left in its grant; without a grant, it is full once it has reported a window.
func full(c *Candidate) bool {
	if c.Grant > 0 {
		return c.Outstanding >= c.Grant
	}
	return c.Window > 0
}

func (p *pickState) allowed(c *Candidate) bool {
	if c.Down {
		return false
	}
	for _, name := range p.info.Exclude {
		if name == c.Name {
			return false
		}
	}
	return true
}

func (p *pickState) eligible(c *Candidate) bool {
	if p.freeOnly && full(c) {
		return false
	}
	return p.allowed(c)
}

// load estimates the tokens at c: the exact tokens from this picker plus the reported tokens, decayed by report age.
//
// The tokens from this picker are not subtracted from the report: that would hide requests sent since the report.
func (p *pickState) load(c *Candidate) float64 {
	halfLife := float64(p.config.ReportHalfLife)
	decay := halfLife / (halfLife + float64(max(c.ReportAge, 0)))
	return float64(c.OwnTokens) + decay*float64(c.ReportedTokens)
}

func (p *pickState) overloaded(i int) bool {
	return p.load(&p.candidates[i]) > p.config.LoadBound*p.meanLoad+p.config.BoundSlack*float64(p.info.Tokens)
}

// highestWeight returns the eligible, not yet considered candidate with the highest rendezvous weight for key, or -1.
func (p *pickState) highestWeight(key uint64) int {
	best := -1
	var maxWeight uint64
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.eligible(c) || p.isConsidered(i) {
			continue
		}
		w := rendezvousWeight(c.Name, key)
		if best >= 0 && w <= maxWeight {
			continue
		}
		best, maxWeight = i, w
	}
	return best
}

func (p *pickState) considerByHash(key uint64, count int) {
	if key == 0 {
		return
	}
	for range count {
		p.consider(p.highestWeight(key))
	}
}

// leastLoadedCached returns the least loaded eligible, not yet considered candidate with the prefix cached, or -1.
func (p *pickState) leastLoadedCached() int {
	best := -1
	var minLoad float64
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.PrefixCached || !p.eligible(c) || p.isConsidered(i) {
			continue
		}
		load := p.load(c)
		if best >= 0 && load >= minLoad {
			continue
		}
		best, minLoad = i, load
	}
	return best
}

// considerFallback considers candidates by hash of the content, so that pickers that see the same loads send copies of one
// content to the same server. If the best candidate so far is still overloaded, it also considers the least loaded one.
// Without a content hash it considers random candidates.
func (p *pickState) considerFallback(random func() uint64) {
	if p.info.Fingerprint == 0 {
		p.considerRandom(random, p.config.ContentChoices)
		return
	}
	p.considerByHash(p.info.Fingerprint, p.config.ContentChoices)
	if p.best < 0 || p.overloaded(p.best) {
		p.consider(p.leastLoaded())
	}
}

// leastLoaded returns the least loaded eligible candidate, the highest rendezvous weight among equals, or -1.
func (p *pickState) leastLoaded() int {
	best := -1
	var minLoad float64
	var maxWeight uint64
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.eligible(c) {
			continue
		}
		l, w := p.load(c), rendezvousWeight(c.Name, p.info.Fingerprint)
		if best >= 0 && (l > minLoad || l == minLoad && w <= maxWeight) {
			continue
		}
		best, minLoad, maxWeight = i, l, w
	}
	return best
}

func (p *pickState) considerRandom(random func() uint64, count int) {
	for range count {
		p.consider(p.randomCandidate(random))
	}
}

// maxRandomDraws is the number of random draws before randomCandidate scans the list.
const maxRandomDraws = 8

// randomCandidate returns a random eligible, not yet considered candidate, or -1.
func (p *pickState) randomCandidate(random func() uint64) int {
	n := len(p.candidates)
	if n == 0 {
		return -1
	}
	start := 0
	for range maxRandomDraws {
		start = int(random() % uint64(n))
		if p.eligible(&p.candidates[start]) && !p.isConsidered(start) {
			return start
		}
	}
	for k := range n {
		i := (start + k) % n
		if p.eligible(&p.candidates[i]) && !p.isConsidered(i) {
			return i
		}
	}
	return -1
}

func (p *pickState) isConsidered(i int) bool {
	for _, k := range p.considered[:p.count] {
		if k == i {
			return true
		}
	}
	return false
}

// consider compares candidate i with the best one so far; a negative i is ignored.
func (p *pickState) consider(i int) {
	if i < 0 || p.count == maxConsidered {
		return
	}
	cost := p.cost(i)
	if p.best < 0 || cost < p.bestCost {
		p.best, p.bestCost = i, cost
	}
	p.considered[p.count] = i
	p.count++
}

// cost returns the load in tokens of candidate i, plus the cost of another availability zone, minus the expected savings if
// its prefix cache probably serves the request and it is not overloaded.
func (p *pickState) cost(i int) float64 {
	c := &p.candidates[i]
	cost := p.load(c)
	if c.Zone != p.info.Zone {
		cost += p.config.CrossZoneCost
	}
	likelyCached := p.count < p.config.PrefixChoices && p.info.PrefixHash != 0
	if (likelyCached || c.PrefixCached) && !p.overloaded(i) {
		cost -= p.config.CacheSavings * float64(p.info.Tokens)
	}
	return cost
}
