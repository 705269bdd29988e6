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
	Choices  int        // candidates tried by hash of the content where those are overloaded
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
		p.spread(c.Random)
	}
	return p.best, p.best >= 0
}
