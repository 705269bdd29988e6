package balance

import (
	"carawaypick/pkg/clock"
)

// Call describes the request for which a backend server is picked.
type Call struct {
	Fingerprint uint64   // hash of the complete content, 0 if unknown
	Prefix      uint64   // hash of the prompt's prefix, 0 for none
	Tokens      uint32   // expected cost in tokens
	Zone        string   // availability zone of the picker
	Suspect     bool     // the content was in flight at a crash
	Exclude     []string // names of backend servers that must not be picked
}

// Candidate is the state of one backend server as known to a picker.
type Candidate struct {
	Name        string
	Zone        string
	Outstanding uint32     // requests in flight from this picker
	Tokens      uint64     // expected tokens in flight from this picker
	Load        uint64     // tokens from all pickers, from the last report
	Age         clock.Span // age of that report in ms
	Window      uint32     // concurrent requests that it accepts, 0 before its first report
	Grant       uint32     // this picker's part of the window
	Rate        uint64     // tokens per second while busy, 0 if unknown; not used by Pick
	Down        bool
	Cached      bool // its cache events report the prefix as cached
}

// Tuning configures a picker.
type Tuning struct {
	PrefixChoices  int        // candidates compared by hash of the prefix, or of the content if there is no prefix
	ContentChoices int        // candidates compared by hash of the content if those are overloaded
	CacheSavings   float64    // fraction of a request's tokens that a cached prefix saves
	BoundSlack     float64    // fraction of the request's tokens by which a load may exceed LoadBound
	LoadBound      float64    // multiple of the mean load above which a candidate is overloaded
	ReportHalfLife clock.Span // age in ms at which a report counts for half
	CrossZoneCost  float64    // tokens added to the cost of a candidate in another availability zone
}

// DefaultTuning returns the configuration that scores best in the simulations of internal/choice.
func DefaultTuning() Tuning {
	return Tuning{
		PrefixChoices:  2,
		ContentChoices: 4,
		CacheSavings:   0.5,
		LoadBound:      1.25,
		BoundSlack:     0.3,
		ReportHalfLife: 30 * clock.Millisecond,
		CrossZoneCost:  8,
	}
}

// Chooser picks a backend server for a request by power of d choices.
type Chooser struct {
	Random func() uint64
	Tuning Tuning // the zero value selects the defaults
}

// Pick returns the index of the picked candidate; ok is false if no candidate is eligible.
func (c Chooser) Pick(info Call, candidates []Candidate) (index int, ok bool) {
	if c.Tuning == (Tuning{}) {
		c.Tuning = DefaultTuning()
	}
	p := pickState{info: info, candidates: candidates, config: c.Tuning, best: -1}
	if info.Suspect {
		p.consider(p.highestWeight(info.Fingerprint))
		return p.best, p.best >= 0
	}
	p.computeMeanLoad()
	key := info.Prefix
	if key == 0 {
		key = info.Fingerprint
	}
	p.considerByHash(key, c.Tuning.PrefixChoices)
	if p.best < 0 || p.overloaded(p.best) {
		p.consider(p.leastLoadedCached())
	}
	if p.best < 0 || p.overloaded(p.best) {
		p.considerFallback(c.Random)
	}
	return p.best, p.best >= 0
}
