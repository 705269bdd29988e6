package balance

import (
	"carawaypick/pkg/clock"
)

// Call is what a choice needs to know of one request.
type Call struct {
	Fingerprint uint64   // hash of the whole content, 0 where unknown
	Prefix      uint64   // hash of the prompt's prefix, 0 where there is none
	Tokens      uint32   // expected cost in tokens
	Zone        string   // availability zone of the chooser
	Suspect     bool     // the content was in flight at a crash
	Exclude     []string // names that must not be picked
}

// Candidate is what a chooser knows of one backend server.
type Candidate struct {
	Name        string
	Zone        string
	Outstanding uint32     // own requests in flight
	Tokens      uint64     // own expected tokens in flight
	Load        uint64     // tokens from all choosers by the last report
	Age         clock.Span // time since that report
	Window      uint32     // requests that it bears now, 0 where it has not reported
	Grant       uint32     // own part of the window
	Rate        uint64     // tokens a second while busy, 0 where unknown; a choice does not weigh it
	Down        bool
	Cached      bool // its cache events say that it holds the prefix
}

// Tuning holds the weights of a choice.
type Tuning struct {
	Homes    int        // candidates tried by hash of the prefix, or of the content where there is none
	Choices  int        // random candidates tried where those are overloaded
	Affinity float64    // part of a call's tokens that a cached prefix saves
	Slack    float64    // part of the call's tokens by which a load may exceed that bound
	Bound    float64    // multiple of the mean load above which a candidate counts as overloaded
	HalfLife clock.Span // age at which a report counts for half
	Distance float64    // tokens that another availability zone costs
}

// DefaultTuning returns the weights that the measurement in internal/choice favours.
func DefaultTuning() Tuning {
	return Tuning{
		Homes:    2,
		Choices:  4,
		Affinity: 0.5,
		Bound:    1.25,
		Slack:    0.3,
		HalfLife: 30 * clock.Millisecond,
		Distance: 8,
	}
}

// Chooser picks a backend server for a call by power of few choices.
type Chooser struct {
	Random func() uint64
	Tuning Tuning // zero for DefaultTuning
}

// Pick returns the index of the chosen candidate; ok is false where none may be picked.
func (c Chooser) Pick(call Call, candidates []Candidate) (index int, ok bool) {
	if c.Tuning == (Tuning{}) {
		c.Tuning = DefaultTuning()
	}
	p := pick{call: call, candidates: candidates, tuning: c.Tuning, best: -1}
	if call.Suspect {
		p.try(p.home(call.Fingerprint))
		return p.best, p.best >= 0
	}
	p.survey()
	key := call.Prefix
	if key == 0 {
		key = call.Fingerprint
	}
	p.tryHomes(key, c.Tuning.Homes)
	if p.best < 0 || p.overloaded(p.best) {
		p.try(p.holder())
	}
	if p.best < 0 || p.overloaded(p.best) {
		p.tryRandom(c.Random, c.Tuning.Choices)
	}
	return p.best, p.best >= 0
}

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
