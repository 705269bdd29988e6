package balance

import (
	"carawaypick/pkg/clock"
)

// PickInfo describes the request for which a backend server is picked.
type PickInfo struct {
	Fingerprint uint64   // hash of the complete content, 0 if unknown
	PrefixHash  uint64   // hash of the prompt's prefix, 0 for none
	Tokens      uint32   // expected cost in tokens
	Zone        string   // availability zone of the picker
	Suspect     bool     // the content was in flight at a crash
	Exclude     []string // names of backend servers that must not be picked
}

// Candidate is the state of one backend server as known to a picker.
type Candidate struct {
	Name           string
	Zone           string
	Outstanding    uint32     // requests in flight from this picker
	OwnTokens      uint64     // expected tokens in flight from this picker
	ReportedTokens uint64     // tokens from all pickers, from the last report
	ReportAge      clock.Span // age of the last report in ms
	Window         uint32     // concurrent requests that the server accepts, 0 before the first report
	Grant          uint32     // this picker's part of the window
	TokenRate      uint64     // tokens per second while busy, 0 if unknown; not used by Pick
	Down           bool
	PrefixCached   bool // the server's cache events report the prefix as cached
}

// PickerConfig configures a picker.
type PickerConfig struct {
	PrefixChoices  int        // candidates compared by hash of the prefix, or of the content if there is no prefix
	ContentChoices int        // candidates compared by hash of the content, or at random without a hash, if the best one by prefix is overloaded
	CacheSavings   float64    // fraction of a request's tokens that a cached prefix saves
	BoundSlack     float64    // fraction of the request's tokens that is added to the bound from LoadBound
	LoadBound      float64    // multiple of the mean load above which a candidate is overloaded
	ReportHalfLife clock.Span // age in ms at which a report counts for half
	CrossZoneCost  float64    // tokens added to the cost of a candidate in another availability zone
}

// DefaultPickerConfig returns the default configuration, which internal/balancesim compares with other policies.
func DefaultPickerConfig() PickerConfig {
	return PickerConfig{
		PrefixChoices:  2,
		ContentChoices: 4,
		CacheSavings:   0.5,
		LoadBound:      1.25,
		BoundSlack:     0.3,
		ReportHalfLife: 30 * clock.Millisecond,
		CrossZoneCost:  8,
	}
}

// Picker picks a backend server for a request by power of d choices.
type Picker struct {
	Random func() uint64
	Config PickerConfig // the zero value selects the defaults
}

// Pick returns the index of the picked candidate; ok is false if no candidate is eligible.
//
// It picks by hash of the content alone for a suspect, so that all pickers send one suspect to the same backend server.
func (picker Picker) Pick(info PickInfo, candidates []Candidate) (index int, ok bool) {
	if picker.Config == (PickerConfig{}) {
		picker.Config = DefaultPickerConfig()
	}
	p := pickState{info: info, candidates: candidates, config: picker.Config, best: -1}
	if info.Suspect {
		p.consider(p.highestWeight(info.Fingerprint))
		return p.best, p.best >= 0
	}
	p.computeMeanLoad()
	key := info.PrefixHash
	if key == 0 {
		key = info.Fingerprint
	}
	p.considerByHash(key, picker.Config.PrefixChoices)
	if p.best < 0 || p.overloaded(p.best) {
		p.consider(p.leastLoadedCached())
	}
	if p.best < 0 || p.overloaded(p.best) {
		p.considerFallback(picker.Random)
	}
	return p.best, p.best >= 0
}
