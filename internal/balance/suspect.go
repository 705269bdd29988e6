package balance

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Crash is the end of one backend server process with the contents that were in flight.
type Crash struct {
	Name     string   // unique: agent, incarnation and count
	Contents []uint64 // fingerprints in flight
	Alone    bool     // the only content in flight was a suspect run by itself
	At       clock.Time
}

const (
	// maxCrashes bounds the crashes that are remembered; the oldest is forgotten first.
	maxCrashes = 256
	// maxContents bounds the contents of one crash.
	maxContents = 1024
	// maxWhole bounds the contents that are remembered as run whole; the oldest is forgotten first.
	maxWhole = 4096
	// condemning is the number of crashes with a content in flight that condemns it.
	condemning = 2
	// shortPart divides the time of a condemnation for which the content never ran alone.
	shortPart = 4
)

// Suspects tells which contents may crash a backend server, from the crashes seen anywhere.
type Suspects struct {
	keep    clock.Span
	crashes []Crash
	whole   map[uint64]clock.Time // when a content last ran whole
	order   []uint64              // of whole, oldest first
}

// NewSuspects returns an empty record that forgets a crash after keep ms.
func NewSuspects(keep clock.Span) *Suspects {
	return &Suspects{keep: keep, whole: make(map[uint64]clock.Time)}
}

// Add records a crash and reports whether it was new; one crash has one name, whoever reports it.
func (s *Suspects) Add(c Crash) (fresh bool) {
	for i := range s.crashes {
		if s.crashes[i].Name == c.Name {
			return false
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.dropOldest()
	}
	c.Contents = slices.Clone(c.Contents[:min(len(c.Contents), maxContents)])
	s.crashes = append(s.crashes, c)
	return true
}

// Suspect reports whether content was in flight at a crash and has not run whole since.
func (s *Suspects) Suspect(now clock.Time, content uint64) bool {
	return s.weigh(now, content).count > 0
}

// Condemned reports whether content must not run, and for how many ms.
//
// Two crashes with the content in flight condemn it: for the whole time where it ran alone at one of them, for a
// quarter where it never ran alone, because then another content in flight or an outage may be the cause. Content
// that ran whole within the time is condemned only by a crash alone.
func (s *Suspects) Condemned(now clock.Time, content uint64) (after clock.Span, condemned bool) {
	w := s.weigh(now, content)
	if w.count < condemning || (w.proven && !w.alone) {
		return 0, false
	}
	keep := s.keep
	if !w.alone {
		keep = s.keep / shortPart
	}
	after = w.last.Add(keep).Sub(now)
	return max(after, 0), after > 0
}

// Whole records that content ran whole until now: earlier crashes don't count against it, and later ones in
// company don't condemn it, since content that many callers send is in flight wherever a rack fails.
func (s *Suspects) Whole(now clock.Time, content uint64) {
	if _, known := s.whole[content]; !known {
		if len(s.order) >= maxWhole {
			delete(s.whole, s.order[0])
			s.order = s.order[1:]
		}
		s.order = append(s.order, content)
	}
	s.whole[content] = max(s.whole[content], now)
}

// Crashes returns the crashes that still count.
func (s *Suspects) Crashes(now clock.Time) []Crash {
	s.sweep(now)
	return slices.Clone(s.crashes)
}

// evidence is what the record holds against one content.
type evidence struct {
	count  int
	alone  bool
	last   clock.Time
	proven bool // it ran whole lately
}

func (s *Suspects) weigh(now clock.Time, content uint64) evidence {
	var e evidence
	whole, known := s.whole[content]
	e.proven = known && now.Sub(whole) < s.keep
	for i := range s.crashes {
		c := &s.crashes[i]
		if now.Sub(c.At) >= s.keep || !slices.Contains(c.Contents, content) {
			continue
		}
		if known && c.At <= whole {
			continue
		}
		e.count++
		e.alone = e.alone || c.Alone
		e.last = max(e.last, c.At)
	}
	return e
}

// sweep forgets what no longer counts.
func (s *Suspects) sweep(now clock.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) >= s.keep })
}

func (s *Suspects) dropOldest() {
	oldest := 0
	for i := range s.crashes {
		if s.crashes[i].At < s.crashes[oldest].At {
			oldest = i
		}
	}
	s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
}
