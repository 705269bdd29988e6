package balance

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Crash is the crash of a backend server process with the contents that were in flight.
type Crash struct {
	ID       string   // unique: agent name, agent incarnation and backend server incarnation
	Contents []uint64 // fingerprints of the contents in flight
	Isolated bool     // the only content in flight was a suspect that ran in isolation
	At       clock.Time
}

const (
	// maxCrashes is the maximum number of recorded crashes; the oldest is dropped first.
	maxCrashes = 256
	// maxContents is the maximum number of recorded contents per crash.
	maxContents = 1024
	// maxCompleted is the maximum number of contents recorded as completed; the oldest is dropped first.
	maxCompleted = 4096
	// quarantineThreshold is the number of crashes after which a content that was in flight at each of them is quarantined.
	quarantineThreshold = 2
	// sharedCrashDivisor divides the quarantine time of a content that never crashed a server in isolation.
	sharedCrashDivisor = 4
)

// SuspectTracker tracks which contents may crash a backend server, from the crashes reported by all agents.
type SuspectTracker struct {
	retention      clock.Span
	crashes        []Crash
	completed      map[uint64]clock.Time // time of the last completed run by content
	completedOrder []uint64              // contents in completed, first recorded first
}

// NewSuspectTracker returns an empty tracker that drops a crash after retention ms.
func NewSuspectTracker(retention clock.Span) *SuspectTracker {
	return &SuspectTracker{retention: retention, completed: make(map[uint64]clock.Time)}
}

// AddCrash records a crash and reports whether it was new; reports of one crash carry the same id.
func (s *SuspectTracker) AddCrash(c Crash) (isNew bool) {
	for i := range s.crashes {
		if s.crashes[i].ID == c.ID {
			return false
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.dropOldestCrash()
	}
	c.Contents = slices.Clone(c.Contents[:min(len(c.Contents), maxContents)])
	s.crashes = append(s.crashes, c)
	return true
}

// Suspected reports whether content was in flight at a recent crash and has not completed since.
func (s *SuspectTracker) Suspected(now clock.Time, content uint64) bool {
	return s.history(now, content).crashes > 0
}

// Quarantined reports whether content must not run, and for how many ms.
//
// Two crashes with the content in flight quarantine it: for the full retention time if it ran in isolation at one of them,
// and for a quarter otherwise, because another content in flight or an outage may be the cause. Content that completed
// within the retention time is quarantined only if it ran in isolation at one of the crashes.
func (s *SuspectTracker) Quarantined(now clock.Time, content uint64) (remaining clock.Span, quarantined bool) {
	h := s.history(now, content)
	if h.crashes < quarantineThreshold || (h.completedRecently && !h.isolated) {
		return 0, false
	}
	duration := s.retention
	if !h.isolated {
		duration = s.retention / sharedCrashDivisor
	}
	remaining = h.lastCrash.Add(duration).Sub(now)
	return max(remaining, 0), remaining > 0
}

// RecordCompleted records that content completed at now. Earlier crashes no longer count against the content. For the
// retention time, later crashes quarantine it only if it ran in isolation at one of them, because content that many
// callers send is in flight wherever a rack fails.
func (s *SuspectTracker) RecordCompleted(now clock.Time, content uint64) {
	if _, known := s.completed[content]; !known {
		if len(s.completedOrder) >= maxCompleted {
			delete(s.completed, s.completedOrder[0])
			s.completedOrder = s.completedOrder[1:]
		}
		s.completedOrder = append(s.completedOrder, content)
	}
	s.completed[content] = max(s.completed[content], now)
}

// Crashes returns the crashes within the retention time.
func (s *SuspectTracker) Crashes(now clock.Time) []Crash {
	s.sweep(now)
	return slices.Clone(s.crashes)
}

// crashHistory summarizes the crashes that count against one content.
type crashHistory struct {
	crashes           int
	isolated          bool
	lastCrash         clock.Time
	completedRecently bool // the content completed within the retention time
}

func (s *SuspectTracker) history(now clock.Time, content uint64) crashHistory {
	var h crashHistory
	completedAt, known := s.completed[content]
	h.completedRecently = known && now.Sub(completedAt) < s.retention
	for i := range s.crashes {
		c := &s.crashes[i]
		if now.Sub(c.At) >= s.retention || !slices.Contains(c.Contents, content) {
			continue
		}
		if known && c.At <= completedAt {
			continue
		}
		h.crashes++
		h.isolated = h.isolated || c.Isolated
		h.lastCrash = max(h.lastCrash, c.At)
	}
	return h
}

// sweep removes crashes older than the retention time.
func (s *SuspectTracker) sweep(now clock.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) >= s.retention })
}

func (s *SuspectTracker) dropOldestCrash() {
	oldest := 0
	for i := range s.crashes {
		if s.crashes[i].At < s.crashes[oldest].At {
			oldest = i
		}
	}
	s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
}
