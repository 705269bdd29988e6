package balance

// maxTried bounds the candidates that one pick compares.
const maxTried = 16

// pick is the state of one choice.
type pick struct {
	call       Call
	candidates []Candidate
	tuning     Tuning
	freeOnly   bool
	mean       float64
	tried      [maxTried]int
	count      int
	best       int
	score      float64
}

// survey finds whether any candidate is free and the mean load of those that may be picked.
func (p *pick) survey() {
	var all, free float64
	var allCount, freeCount int
	for i := range p.candidates {
		d := &p.candidates[i]
		if !p.allowed(d) {
			continue
		}
		load := p.load(d)
		all += load
		allCount++
		if full(d) {
			continue
		}
		free += load
		freeCount++
	}
	p.freeOnly = freeCount > 0
	if p.freeOnly {
		p.mean = free / float64(freeCount)
		return
	}
	if allCount > 0 {
		p.mean = all / float64(allCount)
	}
}

// full reports whether d has no room in what it granted.
func full(d *Candidate) bool {
	if d.Grant > 0 {
		return d.Outstanding >= d.Grant
	}
	return d.Window > 0
}

func (p *pick) allowed(d *Candidate) bool {
	if d.Down {
		return false
	}
	for _, name := range p.call.Exclude {
		if name == d.Name {
			return false
		}
	}
	return true
}

func (p *pick) eligible(d *Candidate) bool {
	if p.freeOnly && full(d) {
		return false
	}
	return p.allowed(d)
}

// load estimates the tokens at d: own work is exact and counts whole, the report fades with its age.
//
// Own work is not taken out of the report: the difference would hide from the chooser what it has sent since.
func (p *pick) load(d *Candidate) float64 {
	half := float64(p.tuning.HalfLife)
	fade := half / (half + float64(max(d.Age, 0)))
	return float64(d.Tokens) + fade*float64(d.Load)
}

func (p *pick) overloaded(i int) bool {
	return p.load(&p.candidates[i]) > p.tuning.Bound*p.mean+p.tuning.Slack*float64(p.call.Tokens)
}

// home returns the eligible candidate of highest rendezvous weight for key that was not tried yet, or -1.
func (p *pick) home(key uint64) int {
	best := -1
	var weight uint64
	for i := range p.candidates {
		d := &p.candidates[i]
		if !p.eligible(d) || p.wasTried(i) {
			continue
		}
		w := rendezvous(d.Name, key)
		if best >= 0 && w <= weight {
			continue
		}
		best, weight = i, w
	}
	return best
}

func (p *pick) tryHomes(key uint64, count int) {
	if key == 0 {
		return
	}
	for range count {
		p.try(p.home(key))
	}
}

// holder returns the least loaded eligible candidate that holds the prefix and was not tried yet, or -1.
func (p *pick) holder() int {
	best := -1
	var least float64
	for i := range p.candidates {
		d := &p.candidates[i]
		if !d.Cached || !p.eligible(d) || p.wasTried(i) {
			continue
		}
		load := p.load(d)
		if best >= 0 && load >= least {
			continue
		}
		best, least = i, load
	}
	return best
}

// spread tries few candidates by hash of the content, so that copies of one content do not spread where views agree, and
// the least loaded one where these are overloaded too; a call without a content takes random ones.
func (p *pick) spread(random func() uint64) {
	if p.call.Fingerprint == 0 {
		p.tryRandom(random, p.tuning.Choices)
		return
	}
	p.tryHomes(p.call.Fingerprint, p.tuning.Choices)
	if p.best < 0 || p.overloaded(p.best) {
		p.try(p.least())
	}
}

// least returns the least loaded eligible candidate, among equals the one of highest rendezvous weight, or -1.
func (p *pick) least() int {
	best := -1
	var load float64
	var weight uint64
	for i := range p.candidates {
		d := &p.candidates[i]
		if !p.eligible(d) {
			continue
		}
		l, w := p.load(d), rendezvous(d.Name, p.call.Fingerprint)
		if best >= 0 && (l > load || l == load && w <= weight) {
			continue
		}
		best, load, weight = i, l, w
	}
	return best
}

func (p *pick) tryRandom(random func() uint64, count int) {
	for range count {
		p.try(p.draw(random))
	}
}

// drawTries is how often draw asks for a new number before it scans.
const drawTries = 8

// draw returns a random eligible candidate that was not tried yet, or -1.
func (p *pick) draw(random func() uint64) int {
	n := len(p.candidates)
	if n == 0 {
		return -1
	}
	start := 0
	for range drawTries {
		start = int(random() % uint64(n))
		if p.eligible(&p.candidates[start]) && !p.wasTried(start) {
			return start
		}
	}
	for k := range n {
		i := (start + k) % n
		if p.eligible(&p.candidates[i]) && !p.wasTried(i) {
			return i
		}
	}
	return -1
}

func (p *pick) wasTried(i int) bool {
	for _, k := range p.tried[:p.count] {
		if k == i {
			return true
		}
	}
	return false
}

// try compares candidate i with the best one so far.
func (p *pick) try(i int) {
	if i < 0 || p.count == maxTried {
		return
	}
	score := p.cost(i)
	if p.best < 0 || score < p.score {
		p.best, p.score = i, score
	}
	p.tried[p.count] = i
	p.count++
}

// cost is the expected tokens before the call is served at candidate i.
func (p *pick) cost(i int) float64 {
	d := &p.candidates[i]
	cost := p.load(d)
	if d.Zone != p.call.Zone {
		cost += p.tuning.Distance
	}
	home := p.count < p.tuning.Homes && p.call.Prefix != 0
	if (home || d.Cached) && !p.overloaded(i) {
		cost -= p.tuning.Affinity * float64(p.call.Tokens)
	}
	return cost
}
