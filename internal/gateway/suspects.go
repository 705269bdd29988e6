package gateway

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

const (
	suspectRetention    = 40 * clock.Minute // time for which a crash counts; a content is quarantined for a quarter of it
	ownReportRounds     = 3                 // heartbeats that carry the report of a crash that this entry saw
	relayedReportRounds = 1                 // heartbeats that carry a report from another entry
	maxReports          = 16                // crash reports in one heartbeat
	maxDigestAge        = clock.Second      // after which a digest is computed anew, since crashes expire
	maxReportedContents = 512               // contents and parts in flight in the reports of one heartbeat, but for its first report
)

// crashReport is a crash of a backend server in the messages between entries.
type crashReport struct {
	ID       string
	Contents []uint64       // fingerprints of the contents in flight
	Unlikely []uint64       // those of Contents that are less likely the cause
	Parts    []balance.Part // parts of the prompts in flight
	Age      clock.Span     // ms since the crash
}

// completion is a completed run, in the messages between entries, of a content that was in flight at a crash.
type completion struct {
	Content uint64
	Age     clock.Span // ms since the content last completed
}

// evidence is what an entry knows of crashes and of the contents and parts of prompts that were in flight.
type evidence struct {
	Crashes        []crashReport
	Completed      []completion
	CompletedParts []completion // of parts, by their ids
}

// suspectSet tracks which contents may crash backend servers and exchanges the evidence with the other entries.
//
// New evidence goes out with the next heartbeats. A heartbeat also has a digest of all evidence, by which entries that
// missed some, started later or were cut off detect it and pull the rest.
type suspectSet struct {
	clock clock.Clock

	mu        sync.Mutex
	tracker   *balance.SuspectTracker
	announced map[string]int // heartbeats that are still to carry the report, by crash id

	cachedDigest uint64
	digestedAt   clock.Time // time of cachedDigest, 0 if it must be computed anew

	pullNow chan struct{} // requests a pull at once, because this entry knows nothing yet
	news    chan struct{} // closed when a crash becomes known, for waiting requests
}

func newSuspectSet(c clock.Clock) *suspectSet {
	return &suspectSet{clock: c, tracker: balance.NewSuspectTracker(suspectRetention), announced: make(map[string]int), pullNow: make(chan struct{}, 1), news: make(chan struct{})}
}

// nextCrash returns a channel that is closed when the next crash becomes known.
func (s *suspectSet) nextCrash() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

// wakeWaiting lets waiting requests check whether they may still be sent; mu is held.
func (s *suspectSet) wakeWaiting() {
	close(s.news)
	s.news = make(chan struct{})
}

// quarantined reports whether content must not be sent, for how many ms, and the ids of the crashes that decide it.
func (s *suspectSet) quarantined(content uint64) (remaining clock.Span, crashes []string) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining, quarantined := s.tracker.Quarantined(now, content)
	if !quarantined {
		return 0, nil
	}
	return remaining, s.tracker.CrashesWith(now, content)
}

// quarantinedPart reports whether a request with any of the parts must not be sent, for how many ms, and the ids of the
// crashes that decide it.
func (s *suspectSet) quarantinedPart(parts []uint64) (remaining clock.Span, crashes []string) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.QuarantinedPart(now, parts)
}

// addCrash records a crash that this entry saw, with one content and its parts that were in flight.
func (s *suspectSet) addCrash(id string, content uint64, unlikely bool, parts []balance.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := balance.Crash{ID: id, Contents: []uint64{content}, Parts: parts, At: s.clock.Now()}
	if unlikely {
		c.Unlikely = c.Contents
	}
	if s.tracker.AddCrash(c) {
		s.announced[id] = ownReportRounds
		s.digestedAt = 0
		s.wakeWaiting()
	}
}

// addCompleted records that a content completed at a backend server.
func (s *suspectSet) addCompleted(content uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.tracker.CrashesWith(now, content) {
		s.announced[id] = ownReportRounds
		s.digestedAt = 0
	}
	s.tracker.RecordCompleted(now, content)
}

// addSend records that this entry sends a request with the parts to a backend server.
func (s *suspectSet) addSend(parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range parts {
		s.tracker.RecordPartSend(id)
	}
}

// addCompletedParts records that a backend server has written an answer on the parts.
func (s *suspectSet) addCompletedParts(parts []uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range parts {
		s.addCompletedPart(now, now, id, ownReportRounds)
	}
}

// addCompletedPart records a completion of a part, and announces it for some rounds if it speaks for the part; mu is held.
func (s *suspectSet) addCompletedPart(now, at clock.Time, id uint64, rounds int) {
	if !s.tracker.RecordCompletedPart(now, at, id) {
		return
	}
	for _, crash := range s.tracker.CrashesWithPart(id) {
		s.announced[crash] = max(s.announced[crash], rounds)
		s.digestedAt = 0
	}
}

// merge adds the evidence of another entry and returns the crashes that it told something new about.
func (s *suspectSet) merge(v evidence) (news []crashReport) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digestedAt = 0
	for _, r := range v.Crashes {
		if r.Age >= suspectRetention {
			continue
		}
		if s.tracker.AddCrash(balance.Crash{ID: r.ID, Contents: r.Contents, Unlikely: r.Unlikely, Parts: r.Parts, At: now.Add(-r.Age)}) {
			s.announced[r.ID] = max(s.announced[r.ID], relayedReportRounds)
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		s.wakeWaiting()
	}
	for _, done := range v.Completed {
		s.addCompletion(now, done)
	}
	for _, done := range v.CompletedParts {
		s.addCompletedPart(now, now.Add(-done.Age), done.Content, relayedReportRounds)
	}
	return news
}

// addCompletion records a completion that another entry reported, and relays it if it speaks for the content; mu is held.
func (s *suspectSet) addCompletion(now clock.Time, done completion) {
	_, known := s.tracker.CompletedAt(done.Content)
	before := s.tracker.CrashesWith(now, done.Content)
	s.tracker.RecordCompleted(now.Add(-done.Age), done.Content)
	if known && len(s.tracker.CrashesWith(now, done.Content)) == len(before) {
		return
	}
	for _, id := range before {
		s.announced[id] = max(s.announced[id], relayedReportRounds)
	}
}

// all returns all evidence.
func (s *suspectSet) all() evidence {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report(now, s.tracker.Crashes(now))
}

// report returns the crashes with the completions of their contents in the form for other entries; mu is held.
func (s *suspectSet) report(now clock.Time, crashes []balance.Crash) (v evidence) {
	reported, reportedParts := make(map[uint64]bool), make(map[uint64]bool)
	for _, c := range crashes {
		v.Crashes = append(v.Crashes, crashReport{ID: c.ID, Contents: c.Contents, Unlikely: c.Unlikely, Parts: c.Parts, Age: now.Sub(c.At)})
		for _, p := range c.Parts {
			at, known := s.tracker.CompletedPartAt(p.ID)
			if known && now.Sub(at) < suspectRetention && !reportedParts[p.ID] {
				v.CompletedParts = append(v.CompletedParts, completion{Content: p.ID, Age: now.Sub(at)})
				reportedParts[p.ID] = true
			}
		}
		for _, content := range c.Contents {
			at, known := s.tracker.CompletedAt(content)
			if known && now.Sub(at) < suspectRetention && !reported[content] {
				v.Completed = append(v.Completed, completion{Content: content, Age: now.Sub(at)})
				reported[content] = true
			}
		}
	}
	return v
}

// digest returns a digest of all evidence, 0 if there is none.
func (s *suspectSet) digest() (digest uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digestedAt != 0 && now.Sub(s.digestedAt) < maxDigestAge {
		return s.cachedDigest
	}
	for _, c := range s.tracker.Crashes(now) {
		digest ^= s.crashDigest(c)
	}
	s.cachedDigest, s.digestedAt = digest, now
	return digest
}

// nextNews returns the evidence for the next heartbeat.
func (s *suspectSet) nextNews() evidence {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.announced) == 0 {
		return evidence{}
	}
	var selected []balance.Crash
	contents, waiting := 0, make(map[string]int)
	for _, c := range s.tracker.Crashes(now) {
		rounds := s.announced[c.ID]
		if rounds == 0 {
			continue
		}
		if len(selected) == 0 || (len(selected) < maxReports && contents+len(c.Contents)+len(c.Parts) <= maxReportedContents) {
			selected = append(selected, c)
			contents += len(c.Contents) + len(c.Parts)
			rounds--
		}
		if rounds > 0 {
			waiting[c.ID] = rounds
		}
	}
	s.announced = waiting
	return s.report(now, selected)
}

// Marks of the contents in a digest.
const (
	completedBefore = 1
	completedAfter  = 2
)

// crashDigest returns a digest of a crash, of its contents and of which of them completed before or after it; mu is held.
func (s *suspectSet) crashDigest(c balance.Crash) (digest uint64) {
	unlikely := make(map[uint64]bool, len(c.Unlikely))
	for _, content := range c.Unlikely {
		unlikely[content] = true
	}
	id := xxhash.Sum64String(c.ID)
	for _, content := range c.Contents {
		var b [18]byte
		binary.LittleEndian.PutUint64(b[:8], id)
		binary.LittleEndian.PutUint64(b[8:16], content)
		if unlikely[content] {
			b[16] = 1
		}
		at, known := s.tracker.CompletedAt(content)
		switch {
		case known && at >= c.At:
			b[17] = completedAfter
		case known:
			b[17] = completedBefore
		}
		digest ^= xxhash.Sum64(b[:])
	}
	for _, p := range c.Parts {
		digest ^= s.partDigest(id, p)
	}
	return digest
}

// partDigest returns a digest of a part that was in flight at a crash, and of whether it completed; mu is held.
func (s *suspectSet) partDigest(crash uint64, p balance.Part) uint64 {
	const partMark = 3 // tells a part from a content
	b := [20]byte{17: partMark, 19: byte(p.Depth)}
	binary.LittleEndian.PutUint64(b[:8], crash)
	binary.LittleEndian.PutUint64(b[8:16], p.ID)
	if p.Unlikely {
		b[16] = 1
	}
	if _, known := s.tracker.CompletedPartAt(p.ID); known {
		b[18] = 1
	}
	return xxhash.Sum64(b[:])
}
