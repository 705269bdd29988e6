package memory

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// phase is what a connection is at.
type phase int

const (
	idle      phase = iota // no request, or nothing of one yet
	receiving              // a request is being received
	pinned                 // the request was received whole and is answered; its holder is never evicted
)

const (
	largePiece  = 64 << 10                // bytes of a request beyond which its memory counts as bulk
	paceHalf    = 500 * clock.Millisecond // half-life of the bytes by which a holder's pace is judged
	roomTimeout = 200 * clock.Millisecond // longest wait for the memory of evicted holders
)

// Holder is one connection, with the request on it.
type Holder struct {
	share *Share
	evict func() // ends the connection, or its request

	held    int64
	base    int64 // bytes of held that belong to the connection rather than to its request
	bulk    int64 // bytes of held in large pieces
	phase   phase
	team    string
	evicted bool

	received   float64 // bytes, halved each paceHalf since receivedAt
	receivedAt clock.Time
	since      clock.Time // start of the phase
}

// Open adds the holder of a connection that takes so many bytes, or returns ErrFull. The function evict is called, at most once and
// without locks, if the holder is evicted; it must lead to Close or EndRequest soon.
func (s *Share) Open(cost int64, evict func()) (h *Holder, err error) {
	now := s.budget.Clock.Now()
	h = &Holder{share: s, evict: evict, receivedAt: now, since: now}
	if err := s.makeRoom(h, cost, true); err != nil {
		return nil, err
	}
	return h, nil
}

// Take takes bytes for the request, or returns ErrFull. Others may be evicted.
func (h *Holder) Take(n int64) error {
	return h.share.makeRoom(h, n, false)
}

// Release gives back bytes of the request.
func (h *Holder) Release(n int64) {
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	h.add(-n)
}

// Received records that bytes of a request were received.
func (h *Holder) Received(n int) {
	now := h.share.budget.Clock.Now()
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	if h.phase == idle {
		h.phase, h.since = receiving, now
	}
	h.received = h.recent(now) + float64(n)
	h.receivedAt = now
}

// SetTeam records whose request it is.
func (h *Holder) SetTeam(team string) {
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	h.team = team
}

// Pin records that the request was received whole, so that its holder is not evicted; it returns false if it was already.
func (h *Holder) Pin() bool {
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	if !h.evicted {
		h.phase = pinned
	}
	return !h.evicted
}

// Unpin records that more is received after a request that was kept.
func (h *Holder) Unpin() {
	now := h.share.budget.Clock.Now()
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	if h.phase != receiving {
		h.phase, h.since, h.received = receiving, now, 0
	}
}

// Evicted reports whether the holder was evicted.
func (h *Holder) Evicted() bool {
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	return h.evicted
}

// EndRequest gives back the memory of the request; the connection stays.
func (h *Holder) EndRequest() {
	now := h.share.budget.Clock.Now()
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	h.add(h.base - h.held)
	h.phase, h.since, h.team, h.received = idle, now, "", 0
}

// Close gives back all memory; calling it again has no effect.
func (h *Holder) Close() {
	h.share.budget.mu.Lock()
	defer h.share.budget.mu.Unlock()
	if _, open := h.share.holders[h]; !open {
		return
	}
	delete(h.share.holders, h)
	h.add(-h.held)
	h.share.wake()
}

// add adds bytes to those that are held, and counts those in large pieces; mu is held.
func (h *Holder) add(n int64) {
	h.held += n
	bulk := max(h.held-h.base-largePiece, 0)
	h.share.add(n, bulk-h.bulk)
	h.bulk = bulk
}

// recent returns the bytes received lately, at now; mu is held.
func (h *Holder) recent(now clock.Time) float64 {
	return h.received * math.Exp2(-float64(now.Sub(h.receivedAt))/float64(paceHalf))
}

// makeRoom takes n bytes for the holder, a new one if open is set. If the share is full, it evicts others and waits for their
// memory; ErrFull means that none may be evicted, or that they took too long.
func (s *Share) makeRoom(h *Holder, n int64, open bool) error {
	freed, err := s.tryRoom(h, n, open)
	if freed == nil {
		return err
	}
	timeout := time.NewTimer(roomTimeout.Duration())
	defer timeout.Stop()
	for {
		select {
		case <-freed:
		case <-timeout.C:
			err = errors.Wrap(ErrFull, "evicted holders did not release it in time")
		}
		s.budget.mu.Lock()
		s.waiting--
		s.budget.mu.Unlock()
		if err != nil {
			return err
		}
		if freed, err = s.tryRoom(h, n, open); freed == nil {
			return err
		}
	}
}

// tryRoom takes n bytes for the holder, or evicts others: then it returns a channel that is closed when memory is given back,
// and counts the caller as waiting.
func (s *Share) tryRoom(h *Holder, n int64, open bool) (freed <-chan struct{}, err error) {
	s.budget.mu.Lock()
	if h.evicted {
		s.budget.mu.Unlock()
		return nil, errors.Wrap(ErrFull, "evicted")
	}
	if s.takeNow(h, n, open) {
		s.budget.mu.Unlock()
		return nil, nil
	}
	victims, enough := s.victims(h, n, open)
	if !enough {
		s.reportPressure(ReasonFull)
		s.budget.mu.Unlock()
		return nil, ErrFull
	}
	for _, v := range victims {
		v.evicted = true
		s.reportPressure(v.reason())
	}
	s.waiting++
	freed = s.freed
	s.budget.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return freed, nil
}

// takeNow takes n bytes for the holder if they are free; mu is held.
func (s *Share) takeNow(h *Holder, n int64, open bool) (taken bool) {
	bulk := max(h.held+n-h.base-largePiece, 0) - h.bulk
	if open {
		bulk = 0
	}
	if !s.fits(n, bulk) || (open && s.Limits.Holders > 0 && len(s.holders) >= s.Limits.Holders) {
		return false
	}
	if open {
		s.holders[h] = struct{}{}
		h.base = n
	}
	h.add(n)
	return true
}
