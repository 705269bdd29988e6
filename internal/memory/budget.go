package memory

import (
	"sync"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// ErrFull is returned for memory or a connection that a share does not have, even after evictions.
var ErrFull = errors.New("no memory is left for it")

// Budget is all memory that a process holds for others.
type Budget struct {
	Clock      clock.Clock
	OnPressure func(share, reason string) // called for each eviction and each rejection, with mu held; nil for none

	mu     sync.Mutex
	shares []*Share
}

// Limits bounds what one share holds.
type Limits struct {
	Bytes   int64
	Bulk    int64 // bytes, of Bytes, that may be held in large pieces; 0 for all
	Holders int   // connections; 0 for any number
}

// Share is a part of the budget for one purpose.
type Share struct {
	Name   string
	Limits Limits

	budget  *Budget
	used    int64
	bulk    int64 // bytes of used that are held in large pieces
	peak    int64
	holders map[*Holder]struct{}
	waiting int           // number of those that wait for freed
	freed   chan struct{} // closed when memory is given back and somebody waits for it
}

// Usage is what a share holds.
type Usage struct {
	Name    string
	Used    int64 // bytes
	Limit   int64 // bytes
	Peak    int64 // highest number of bytes so far
	Holders int
}

// Share adds a share with the limits.
func (b *Budget) Share(name string, limits Limits) *Share {
	s := &Share{Name: name, Limits: limits, budget: b, holders: make(map[*Holder]struct{}), freed: make(chan struct{})}
	if s.Limits.Bulk <= 0 {
		s.Limits.Bulk = limits.Bytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares = append(b.shares, s)
	return s
}

// Usage returns what each share holds.
func (b *Budget) Usage() (all []Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.shares {
		all = append(all, s.usage())
	}
	return all
}

// UsageOf returns what the share with the name holds.
func (b *Budget) UsageOf(name string) (u Usage) {
	for _, u := range b.Usage() {
		if u.Name == name {
			return u
		}
	}
	return u
}

// Usage returns what the share holds.
func (s *Share) Usage() Usage {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.usage()
}

// usage implements Usage; mu is held.
func (s *Share) usage() Usage {
	return Usage{Name: s.Name, Used: s.used, Limit: s.Limits.Bytes, Peak: s.peak, Holders: len(s.holders)}
}

// Take takes bytes that belong to no holder, or returns ErrFull. No holder is evicted for them.
func (s *Share) Take(n int64) error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.fits(n, 0) {
		s.reportPressure(ReasonFull)
		return ErrFull
	}
	s.add(n, 0)
	return nil
}

// Release gives back bytes of Take.
func (s *Share) Release(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.add(-n, 0)
}

// fits reports whether the share has room for so many more bytes, of which bulk are in large pieces; mu is held.
func (s *Share) fits(n, bulk int64) bool {
	return s.used+n <= s.Limits.Bytes && (bulk == 0 || s.bulk+bulk <= s.Limits.Bulk)
}

// add adds bytes that are held, of which bulk are in large pieces, and wakes those that wait for freed ones; mu is held.
func (s *Share) add(n, bulk int64) {
	s.used += n
	s.bulk += bulk
	s.peak = max(s.peak, s.used)
	if n < 0 {
		s.wake()
	}
}

// wake wakes those that wait for memory or a connection; mu is held.
func (s *Share) wake() {
	if s.waiting == 0 {
		return
	}
	close(s.freed)
	s.freed = make(chan struct{})
}

func (s *Share) reportPressure(reason string) {
	if s.budget.OnPressure != nil {
		s.budget.OnPressure(s.Name, reason)
	}
}
