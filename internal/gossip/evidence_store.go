package gossip

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

const (
	// MaxEvidence bounds the number of crash and run reports kept.
	MaxEvidence = 1024
	// maxFingerprints bounds the number of content fingerprints kept of one report.
	maxFingerprints = 1024
	// maxEvidenceBytes bounds the size in bytes of the reports in one message.
	maxEvidenceBytes = 256 << 10
	// evidencePerExchange bounds the number of reports in a message, except in a reply to a process without a configuration.
	evidencePerExchange = 32
	// maxCrashIDBytes is the longest id of a report in bytes.
	maxCrashIDBytes = 256
)

// report is one crash or run report and the time of the event.
type report struct {
	evidence *peerpb.Evidence
	at       clock.Time
}

// evidenceStore keeps the union of all crash and run reports received, until they expire.
type evidenceStore struct {
	ttl clock.Span

	mutex   sync.Mutex
	reports map[string]report
}

// add records reports and returns the new ones.
func (e *evidenceStore) add(now clock.Time, all []*peerpb.Evidence) (fresh []*peerpb.Evidence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	for _, v := range all {
		if v.GetCrash() == "" || len(v.GetCrash()) > maxCrashIDBytes {
			continue
		}
		at := now.Add(-clock.Span(min(v.GetAge(), uint64(e.ttl)+1)))
		if now.Sub(at) > e.ttl {
			continue
		}
		if _, known := e.reports[v.GetCrash()]; known {
			continue
		}
		if len(v.GetContents()) > maxFingerprints {
			v = &peerpb.Evidence{Crash: v.GetCrash(), Contents: v.GetContents()[:maxFingerprints], Alone: v.GetAlone(), Age: v.GetAge()}
		}
		e.reports[v.GetCrash()] = report{evidence: v, at: at}
		fresh = append(fresh, v)
	}
	e.evictOldest()
	return fresh
}

func (e *evidenceStore) expire(now clock.Time) {
	for name, r := range e.reports {
		if now.Sub(r.at) > e.ttl {
			delete(e.reports, name)
		}
	}
}

// evictOldest drops the oldest reports beyond MaxEvidence.
func (e *evidenceStore) evictOldest() {
	if len(e.reports) <= MaxEvidence {
		return
	}
	for _, r := range e.newestFirst()[MaxEvidence:] {
		delete(e.reports, r.evidence.GetCrash())
	}
}

func (e *evidenceStore) newestFirst() (all []report) {
	for _, r := range e.reports {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b report) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.evidence.GetCrash(), b.evidence.GetCrash()))
	})
	return all
}

// forMessage returns up to count reports that fit into one message, newest first.
func (e *evidenceStore) forMessage(now clock.Time, count int) (all []*peerpb.Evidence) {
	bytes := 0
	for _, v := range e.list(now, count) {
		if bytes += proto.Size(v); bytes > maxEvidenceBytes {
			break
		}
		all = append(all, v)
	}
	return all
}

// list returns up to count reports with their current ages, newest first.
func (e *evidenceStore) list(now clock.Time, count int) (all []*peerpb.Evidence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	for _, r := range e.newestFirst() {
		if len(all) == count {
			break
		}
		all = append(all, &peerpb.Evidence{
			Crash:    r.evidence.GetCrash(),
			Contents: r.evidence.GetContents(),
			Alone:    r.evidence.GetAlone(),
			Age:      uint64(now.Sub(r.at)),
			Whole:    r.evidence.GetWhole(),
		})
	}
	return all
}
