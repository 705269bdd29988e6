package balance

import (
	"maps"
	"slices"

	"carawaypick/pkg/clock"
)

// Crash is the crash of a backend server process with the contents that were in flight.
type Crash struct {
	ID       string   // the same in all reports of one crash, for example the backend server's incarnation
	Contents []uint64 // fingerprints of the contents in flight
	Unlikely []uint64 // those of Contents that are less likely the cause, as the server was cold or had begun to respond
	Isolated bool     // the only content in flight was a suspect that ran in isolation
	Parts    []Part   // parts of the prompts in flight that other requests may share
	At       clock.Time
}

// recordedCrash is a crash with its contents as a set, for lookup by content.
type recordedCrash struct {
	id       string
	isolated bool
	at       clock.Time
	contents map[uint64]int  // weight against each content that was in flight
	parts    map[uint64]Part // parts of prompts in flight, by id
}

const (
	// maxCrashes is the maximum number of recorded crashes; the latest are kept.
	maxCrashes = 256
	// maxContents is the maximum number of recorded contents per crash.
	maxContents = 1024
	// maxCompleted is the maximum number of contents recorded as completed; the oldest is dropped first.
	maxCompleted = 4096
	// likelyWeight and unlikelyWeight are what a crash weighs against a content in flight, and explainedWeight what it weighs
	// if another content in flight is quarantined. quarantineWeight is the sum that quarantines a content: two crashes of
	// which it is a likely cause, or any three that nothing else explains.
	likelyWeight     = 3
	unlikelyWeight   = 2
	explainedWeight  = 1
	quarantineWeight = 6
	// crashMoments is the number of separate moments of crashes since its last completed run that quarantine a content that
	// completed recently, and momentGap the least time between two of them. An outage ends many servers at one moment, and
	// content that many callers send completes between two outages.
	crashMoments = 3
	momentGap    = clock.Second
	// sharedCrashDivisor divides the quarantine time of a content that never crashed a server in isolation.
	sharedCrashDivisor = 4
)

// SuspectTracker tracks which contents may crash a backend server, from the crashes that all agents or entries report.
type SuspectTracker struct {
	retention      clock.Span
	crashes        []recordedCrash
	completed      map[uint64]clock.Time // time of the last completed run by content
	completedOrder []uint64              // contents in completed, first recorded first

	verdicts map[uint64]crashHistory // quarantined contents with the crashes that count; nil if it must be computed anew

	parts        partRecords
	partVerdicts map[uint64]partHistory // the same for parts
}

// NewSuspectTracker returns an empty tracker that drops a crash after retention ms.
func NewSuspectTracker(retention clock.Span) *SuspectTracker {
	return &SuspectTracker{retention: retention, completed: make(map[uint64]clock.Time)}
}

// AddCrash records a crash and reports whether it told anything new. Reports of one crash have the same id; each may name
// other contents in flight.
func (s *SuspectTracker) AddCrash(c Crash) (isNew bool) {
	i := slices.IndexFunc(s.crashes, func(r recordedCrash) bool { return r.id == c.ID })
	if i < 0 {
		if len(s.crashes) >= maxCrashes && !s.dropCrashBefore(c.At) {
			return false
		}
		i, isNew = len(s.crashes), true
		s.crashes = append(s.crashes, recordedCrash{id: c.ID, isolated: c.Isolated, at: c.At, contents: make(map[uint64]int), parts: make(map[uint64]Part)})
	}
	r := &s.crashes[i]
	r.at, r.isolated = min(r.at, c.At), r.isolated && c.Isolated // the same result in any order of the reports
	for _, content := range c.Contents {
		weight := likelyWeight
		if slices.Contains(c.Unlikely, content) {
			weight = unlikelyWeight
		}
		old, known := r.contents[content]
		if weight > old && (known || len(r.contents) < maxContents) {
			r.contents[content] = weight
			isNew = true
		}
	}
	for _, p := range c.Parts {
		old, known := r.parts[p.ID]
		better := Part{ID: p.ID, Depth: max(p.Depth, old.Depth), Unlikely: p.Unlikely && (old.Unlikely || !known)}
		if better != old && (known || len(r.parts) < maxContents) {
			r.parts[p.ID] = better
			isNew = true
		}
	}
	s.forgetVerdicts()
	return isNew
}

// Suspected reports whether content was in flight at a recent crash and has not completed since.
func (s *SuspectTracker) Suspected(now clock.Time, content uint64) bool {
	return s.history(now, content).weight > 0
}

// Quarantined reports whether content must not run, and for how many ms.
//
// Two crashes with the content in flight, or three of which it is an unlikely cause, quarantine it: for the full retention
// time if it ran in isolation at one of them, and for a quarter otherwise, because another content in flight or an outage
// may be the cause. Of several contents the one with the most crashes is quarantined first, and crashes that it explains
// hardly count against the others: so content that only happened to be in flight is released once the cause has crashed
// another server. The same goes for crashes that a quarantined part explains. Content that completed within the retention time is quarantined only if it ran in isolation at one of
// the crashes, or if these happened at crashMoments separate moments since.
func (s *SuspectTracker) Quarantined(now clock.Time, content uint64) (remaining clock.Span, quarantined bool) {
	if s.history(now, content).weight < quarantineWeight {
		return 0, false
	}
	h, convicted := s.convicted(now)[content]
	if !convicted {
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
// retention time, later crashes must prove more, as Quarantined tells, because content that many callers send is in flight
// wherever a rack fails.
func (s *SuspectTracker) RecordCompleted(now clock.Time, content uint64) {
	if _, known := s.completed[content]; !known {
		if len(s.completedOrder) >= maxCompleted {
			delete(s.completed, s.completedOrder[0])
			s.completedOrder = s.completedOrder[1:]
		}
		s.completedOrder = append(s.completedOrder, content)
	}
	if s.history(now, content).weight > 0 {
		s.forgetVerdicts() // it explains no crashes any more
	}
	s.completed[content] = max(s.completed[content], now)
}

// Crashes returns the crashes within the retention time.
func (s *SuspectTracker) Crashes(now clock.Time) (crashes []Crash) {
	s.sweep(now)
	for _, r := range s.crashes {
		c := Crash{ID: r.id, Isolated: r.isolated, At: r.at, Contents: slices.Sorted(maps.Keys(r.contents))}
		for _, content := range c.Contents {
			if r.contents[content] == unlikelyWeight {
				c.Unlikely = append(c.Unlikely, content)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(r.parts)) {
			c.Parts = append(c.Parts, r.parts[id])
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// CrashesWith returns the ids of the crashes that count against content.
func (s *SuspectTracker) CrashesWith(now clock.Time, content uint64) []string {
	return s.history(now, content).ids
}

// CompletedAt returns when content last completed; known is false if that is not recorded.
func (s *SuspectTracker) CompletedAt(content uint64) (at clock.Time, known bool) {
	at, known = s.completed[content]
	return at, known
}

// crashHistory summarizes the crashes that count against one content.
type crashHistory struct {
	ids               []string
	times             []clock.Time
	weight            int
	isolated          bool
	lastCrash         clock.Time
	completedRecently bool     // the content completed within the retention time
	explained         []string // ids of the crashes that another cause explains
}

func (s *SuspectTracker) history(now clock.Time, content uint64) crashHistory {
	var h crashHistory
	for i := range s.crashes {
		s.count(&h, now, content, &s.crashes[i])
	}
	return h
}

// count adds the crash to the history of content, if it counts against it.
func (s *SuspectTracker) count(h *crashHistory, now clock.Time, content uint64, c *recordedCrash) {
	completedAt, known := s.completed[content]
	h.completedRecently = known && now.Sub(completedAt) < s.retention
	weight, inFlight := c.contents[content]
	if !inFlight || now.Sub(c.at) >= s.retention || (known && c.at <= completedAt) {
		return
	}
	h.ids, h.times = append(h.ids, c.id), append(h.times, c.at)
	h.weight += weight
	h.isolated = h.isolated || c.isolated
	h.lastCrash = max(h.lastCrash, c.at)
}

// convicted returns the quarantined contents with the crashes that count against them.
func (s *SuspectTracker) convicted(now clock.Time) map[uint64]crashHistory {
	s.sweep(now)
	if s.verdicts != nil {
		return s.verdicts
	}
	s.verdicts = make(map[uint64]crashHistory)
	suspects := s.histories(now)
	explained := make(map[string]bool) // by crash id
	for _, part := range s.convictedParts(now) {
		for _, id := range part.ids {
			if !explained[id] {
				explained[id] = true
				s.discount(suspects, id)
			}
		}
	}
	for {
		cause, found := worstSuspect(suspects)
		if !found {
			return s.verdicts
		}
		s.verdicts[cause] = suspects[cause]
		delete(suspects, cause)
		for _, id := range s.verdicts[cause].ids {
			if !explained[id] {
				explained[id] = true
				s.discount(suspects, id)
			}
		}
	}
}

// protected reports whether the content completed so recently that the crashes may be coincidences.
func (h *crashHistory) protected() bool {
	return h.completedRecently && !h.isolated && h.moments() < crashMoments
}

// moments returns the number of crashes that are at least momentGap after the one counted before.
func (h *crashHistory) moments() (count int) {
	var last clock.Time
	for _, at := range slices.Sorted(slices.Values(h.times)) {
		if count == 0 || at.Sub(last) >= momentGap {
			count, last = count+1, at
		}
	}
	return count
}

// histories returns the crashes that count against each content, but for those that are protected.
func (s *SuspectTracker) histories(now clock.Time) map[uint64]crashHistory {
	all := make(map[uint64]crashHistory)
	for i := range s.crashes {
		for content := range s.crashes[i].contents {
			h := all[content]
			s.count(&h, now, content, &s.crashes[i])
			all[content] = h
		}
	}
	maps.DeleteFunc(all, func(_ uint64, h crashHistory) bool { return h.protected() })
	return all
}

// worstSuspect returns the suspect that is to be quarantined first; found is false if none is to be.
func worstSuspect(suspects map[uint64]crashHistory) (worst uint64, found bool) {
	for content, h := range suspects {
		if h.weight < quarantineWeight {
			continue
		}
		w := suspects[worst]
		switch {
		case !found, h.isolated && !w.isolated:
			worst, found = content, true
		case w.isolated && !h.isolated:
		case h.weight > w.weight || (h.weight == w.weight && content < worst):
			worst = content
		}
	}
	return worst, found
}

// discount lowers the weight of the crash with the id against the suspects that were in flight.
func (s *SuspectTracker) discount(suspects map[uint64]crashHistory, id string) {
	i := slices.IndexFunc(s.crashes, func(r recordedCrash) bool { return r.id == id })
	for content, weight := range s.crashes[i].contents {
		h, known := suspects[content]
		if known && slices.Contains(h.ids, id) {
			h.weight -= weight - explainedWeight
			suspects[content] = h
		}
	}
}

// forgetVerdicts lets all verdicts be computed anew.
func (s *SuspectTracker) forgetVerdicts() {
	s.verdicts, s.partVerdicts = nil, nil
}

// sweep removes crashes older than the retention time.
func (s *SuspectTracker) sweep(now clock.Time) {
	count := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(r recordedCrash) bool { return now.Sub(r.at) >= s.retention })
	if len(s.crashes) < count {
		s.forgetVerdicts()
	}
}

// dropCrashBefore drops the oldest crash if it is older than at, and reports whether it was.
func (s *SuspectTracker) dropCrashBefore(at clock.Time) bool {
	oldest := 0
	for i := range s.crashes {
		if s.crashes[i].at < s.crashes[oldest].at {
			oldest = i
		}
	}
	if s.crashes[oldest].at >= at {
		return false
	}
	s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	return true
}
