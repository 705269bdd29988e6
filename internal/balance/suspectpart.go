package balance

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Part is a part of the prompt of a request that was in flight at a crash.
type Part struct {
	ID       uint64 // hash of the part's id
	Depth    int    // number of parts before it in the prompt
	Unlikely bool   // it is less likely the cause, as most prompts begin with it or the server was cold
}

const (
	// partMoments is the least number of separate moments of crashes that quarantine a part, since one outage ends several
	// servers at one moment. partCrashes at one moment quarantine it as well: few parts are in flight at so many servers
	// without completing anywhere.
	partMoments = 2
	partCrashes = 5
	// contentCrashes is the number of crashes by one content that explain them: more than the attempts of one request, so
	// that requests with a crashing part don't hide it.
	contentCrashes = 3
	// maxRecordedParts is the number of parts of which something is recorded before older ones are dropped; those of which
	// more is recorded stay.
	maxRecordedParts = 4096
)

// partRecord is what is recorded of one part.
type partRecord struct {
	completed   bool       // a request with it completed
	completedAt clock.Time // when that last was; negative if it was before this process started
	sends       int        // of requests with it by this process
}

// partRecords are the records of parts, in two generations so that those which are used go on.
type partRecords struct {
	current, previous map[uint64]partRecord
}

func (r *partRecords) set(id uint64, p partRecord) {
	if len(r.current) >= maxRecordedParts || r.current == nil {
		r.current, r.previous = make(map[uint64]partRecord), r.current
	}
	r.current[id] = p
}

func (r *partRecords) get(id uint64) partRecord {
	if p, known := r.current[id]; known {
		return p
	}
	return r.previous[id]
}

// partHistory summarizes the crashes that count against one part.
type partHistory struct {
	crashHistory
	depth int
	sends int
}

// ratio returns the weight of the crashes for each send: nearly every send of the cause ends in a crash, while a popular
// part is in flight at many.
func (h *partHistory) ratio() float64 {
	return float64(h.weight) / float64(1+h.sends)
}

// RecordPartSend records that this process sends a request with the part to a server.
func (s *SuspectTracker) RecordPartSend(id uint64) {
	p := s.parts.get(id)
	p.sends++
	s.parts.set(id, p)
}

// RecordCompletedPart records that a request with the part completed at a time: no crash within the retention time counts
// against the part. It reports whether that is news.
func (s *SuspectTracker) RecordCompletedPart(now, at clock.Time, id uint64) (isNew bool) {
	isNew = !s.partCompleted(now, id) && now.Sub(at) < s.retention
	p := s.parts.get(id)
	if !p.completed || at > p.completedAt {
		p.completed, p.completedAt = true, at
	}
	s.parts.set(id, p)
	if isNew {
		s.forgetVerdicts()
	}
	return isNew
}

// CompletedPartAt returns when a request with the part last completed; known is false if that is not recorded.
func (s *SuspectTracker) CompletedPartAt(id uint64) (at clock.Time, known bool) {
	p := s.parts.get(id)
	return p.completedAt, p.completed
}

// CrashesWithPart returns the ids of the crashes at which the part was in flight.
func (s *SuspectTracker) CrashesWithPart(id uint64) (ids []string) {
	for _, c := range s.crashes {
		if _, inFlight := c.parts[id]; inFlight {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// QuarantinedPart reports whether a request with any of the parts must not run, for how many ms, and the ids of the
// crashes that decide it.
//
// The cause is what crashes have in common and nothing that completed has. So a part is quarantined for a quarter of the
// retention time after crashes at two separate moments, or three if it is an unlikely cause, unless a request with it
// completed within the retention time, or contents explain these crashes. Of several parts the one with the most crashes
// for each send comes first, the deepest of equals; crashes that it explains don't count against the others. So a popular
// part that was in flight at all of them is not taken for the cause, even if crashes came so fast that nothing has
// completed yet.
func (s *SuspectTracker) QuarantinedPart(now clock.Time, parts []uint64) (remaining clock.Span, crashes []string) {
	if len(parts) == 0 || len(s.crashes) == 0 {
		return 0, nil
	}
	verdicts := s.convictedParts(now)
	for _, id := range parts {
		h, convicted := verdicts[id]
		if left := h.lastCrash.Add(s.retention / sharedCrashDivisor).Sub(now); convicted && left > remaining {
			remaining, crashes = left, h.ids
		}
	}
	return remaining, crashes
}

func (s *SuspectTracker) partCompleted(now clock.Time, id uint64) bool {
	at, known := s.CompletedPartAt(id)
	return known && now.Sub(at) < s.retention
}

// convictedParts returns the quarantined parts with the crashes that count against them.
func (s *SuspectTracker) convictedParts(now clock.Time) map[uint64]partHistory {
	s.sweep(now)
	if s.partVerdicts != nil {
		return s.partVerdicts
	}
	s.partVerdicts = make(map[uint64]partHistory)
	suspects := s.partHistories(now)
	for {
		cause, found := worstPart(suspects)
		if !found {
			return s.partVerdicts
		}
		h := suspects[cause]
		s.partVerdicts[cause] = h
		delete(suspects, cause)
		for id, other := range suspects {
			for _, crash := range other.ids {
				if slices.Contains(h.ids, crash) && !slices.Contains(other.explained, crash) {
					other.explained = append(other.explained, crash)
					other.weight -= s.partWeight(crash, id)
				}
			}
			suspects[id] = other
		}
	}
}

// partHistories returns the crashes that count against each part that may be a cause.
func (s *SuspectTracker) partHistories(now clock.Time) map[uint64]partHistory {
	all := make(map[uint64]partHistory)
	byContent := s.crashesByContent(now)
	for i := range s.crashes {
		c := &s.crashes[i]
		for id, p := range c.parts {
			if byContent[c.id] || s.partCompleted(now, id) {
				continue
			}
			h := all[id]
			h.ids, h.times = append(h.ids, c.id), append(h.times, c.at)
			h.weight += p.weight()
			h.lastCrash = max(h.lastCrash, c.at)
			h.depth = max(h.depth, p.Depth)
			h.sends = s.parts.get(id).sends
			all[id] = h
		}
	}
	for id, h := range all {
		if h.weight < quarantineWeight || (h.moments() < partMoments && len(h.ids) < partCrashes) || s.oneContent(now, h.ids) {
			delete(all, id)
		}
	}
	return all
}

// crashesByContent returns the crashes that a content explains: it was in flight at contentCrashes of them and has not
// completed within the retention time.
func (s *SuspectTracker) crashesByContent(now clock.Time) map[string]bool {
	counts := make(map[uint64]int)
	for i := range s.crashes {
		for content := range s.crashes[i].contents {
			counts[content]++
		}
	}
	explained := make(map[string]bool)
	for content, count := range counts {
		if count < contentCrashes {
			continue
		}
		if h := s.history(now, content); !h.completedRecently {
			for _, id := range h.ids {
				explained[id] = true
			}
		}
	}
	return explained
}

// weight returns what a crash weighs against the part.
func (p Part) weight() int {
	if p.Unlikely {
		return unlikelyWeight
	}
	return likelyWeight
}

func (s *SuspectTracker) partWeight(crash string, id uint64) int {
	i := slices.IndexFunc(s.crashes, func(r recordedCrash) bool { return r.id == crash })
	return s.crashes[i].parts[id].weight()
}

// oneContent reports whether one content was in flight at all of the crashes and has not completed within the retention
// time. A popular content may be in flight at many crashes.
func (s *SuspectTracker) oneContent(now clock.Time, crashes []string) bool {
	first := slices.IndexFunc(s.crashes, func(r recordedCrash) bool { return r.id == crashes[0] })
	for content := range s.crashes[first].contents {
		h := s.history(now, content)
		if !h.completedRecently && !slices.ContainsFunc(crashes, func(id string) bool { return !slices.Contains(h.ids, id) }) {
			return true
		}
	}
	return false
}

// worstPart returns the part that is to be quarantined first; found is false if none is to be.
func worstPart(suspects map[uint64]partHistory) (worst uint64, found bool) {
	for id, h := range suspects {
		if h.weight < quarantineWeight {
			continue
		}
		w := suspects[worst]
		switch {
		case !found, h.ratio() > w.ratio():
			worst, found = id, true
		case h.ratio() < w.ratio():
		case h.depth > w.depth || (h.depth == w.depth && id < worst):
			worst = id
		}
	}
	return worst, found
}
