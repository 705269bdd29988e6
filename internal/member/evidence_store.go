package member

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

const (
	// MaxEvidence is the number of crashes remembered.
	MaxEvidence = 1024
	// maxContents is the number of fingerprints taken from one crash.
	maxContents = 1024
	// maxEvidenceBytes bounds the evidence in one message.
	maxEvidenceBytes = 256 << 10
	// passedEvidence is the number of crashes that an ordinary exchange carries.
	passedEvidence = 32
	// maxCrash is the longest name of a crash in bytes.
	maxCrash = 256
)

// crash is the evidence of one crash and the moment it happened.
type crash struct {
	evidence *peerpb.Evidence
	at       clock.Time
}

// evidence is the union of all crashes heard of within a span.
type evidence struct {
	keep clock.Span

	mutex   sync.Mutex
	crashes map[string]crash
}

// add takes in evidence, and returns what was new.
func (e *evidence) add(now clock.Time, all []*peerpb.Evidence) (fresh []*peerpb.Evidence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	for _, v := range all {
		if v.GetCrash() == "" || len(v.GetCrash()) > maxCrash {
			continue
		}
		at := now.Add(-clock.Span(min(v.GetAge(), uint64(e.keep)+1)))
		if now.Sub(at) > e.keep {
			continue
		}
		if _, known := e.crashes[v.GetCrash()]; known {
			continue
		}
		if len(v.GetContents()) > maxContents {
			v = &peerpb.Evidence{Crash: v.GetCrash(), Contents: v.GetContents()[:maxContents], Alone: v.GetAlone(), Age: v.GetAge()}
		}
		e.crashes[v.GetCrash()] = crash{evidence: v, at: at}
		fresh = append(fresh, v)
	}
	e.bound()
	return fresh
}

func (e *evidence) expire(now clock.Time) {
	for name, c := range e.crashes {
		if now.Sub(c.at) > e.keep {
			delete(e.crashes, name)
		}
	}
}

// bound drops the oldest crashes beyond the number remembered.
func (e *evidence) bound() {
	if len(e.crashes) <= MaxEvidence {
		return
	}
	for _, c := range e.newest()[MaxEvidence:] {
		delete(e.crashes, c.evidence.GetCrash())
	}
}

func (e *evidence) newest() (all []crash) {
	for _, c := range e.crashes {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b crash) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.evidence.GetCrash(), b.evidence.GetCrash()))
	})
	return all
}

// part returns up to count crashes that fit into one message, newest first.
func (e *evidence) part(now clock.Time, count int) (all []*peerpb.Evidence) {
	bytes := 0
	for _, v := range e.list(now, count) {
		if bytes += proto.Size(v); bytes > maxEvidenceBytes {
			break
		}
		all = append(all, v)
	}
	return all
}

// list returns up to count crashes with their present ages, newest first.
func (e *evidence) list(now clock.Time, count int) (all []*peerpb.Evidence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	for _, c := range e.newest() {
		if len(all) == count {
			break
		}
		all = append(all, &peerpb.Evidence{
			Crash:    c.evidence.GetCrash(),
			Contents: c.evidence.GetContents(),
			Alone:    c.evidence.GetAlone(),
			Age:      uint64(now.Sub(c.at)),
			Whole:    c.evidence.GetWhole(),
		})
	}
	return all
}
