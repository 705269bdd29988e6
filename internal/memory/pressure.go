package memory

import (
	"cmp"
	"slices"

	"carawaypick/pkg/clock"
)

// Reasons for evictions and rejections.
const (
	ReasonFull = "full"  // rejected, as nobody may be evicted
	ReasonIdle = "idle"  // an idle connection, for which others need the room
	ReasonSlow = "slow"  // a request that comes in slowly or not at all
	ReasonTeam = "crowd" // a request of the team that holds most
)

const (
	minIdleTime  = 100 * clock.Millisecond // for which a connection may send nothing before it may be evicted
	startTime    = 500 * clock.Millisecond // for a request to come in before its pace counts
	slowReceived = 32 << 10                // bytes received lately below which a request comes in slowly: 44 KiB a second
)

// candidate is a holder that may be evicted.
type candidate struct {
	*Holder
	received float64 // bytes received lately
}

// victims returns the holders to evict for n bytes of h, or for its connection; enough is false if that is not possible.
// These are, until there is room: those that receive hardly anything, first the one that holds most for what it has received lately;
// then requests of the team that holds most, if the team of h holds less. Pinned holders are never evicted. mu is held.
func (s *Share) victims(h *Holder, n int64, open bool) (victims []*Holder, enough bool) {
	now := s.budget.Clock.Now()
	need := s.need(h, n, open)
	var slow, others []candidate
	for other := range s.holders {
		if other == h || other.phase == pinned {
			continue
		}
		if other.evicted {
			need.subtract(other)
			continue
		}
		c := candidate{Holder: other, received: other.recent(now)}
		if c.isSlow(now) {
			slow = append(slow, c)
		} else {
			others = append(others, c)
		}
	}
	victims = need.choose(nil, slow)
	if !need.met() && !open {
		victims = need.choose(victims, s.ofLargestTeam(h, n, others))
	}
	return victims, need.met()
}

// isSlow reports whether hardly anything is received on the connection.
func (c candidate) isSlow(now clock.Time) bool {
	if c.phase == idle {
		return now.Sub(c.since) >= minIdleTime
	}
	return now.Sub(c.since) >= startTime && c.received < slowReceived
}

// room is what has to be given back.
type room struct {
	bytes, bulk int64
	holders     int
}

// need returns what has to be given back for n bytes of h; mu is held.
func (s *Share) need(h *Holder, n int64, open bool) (r room) {
	r.bytes = s.used + n - s.Limits.Bytes
	if bulk := max(h.held+n-h.base-largePiece, 0) - h.bulk; bulk > 0 && !open {
		r.bulk = s.bulk + bulk - s.Limits.Bulk
	}
	if open && s.Limits.Holders > 0 {
		r.holders = len(s.holders) + 1 - s.Limits.Holders
	}
	return r
}

func (r *room) met() bool {
	return r.bytes <= 0 && r.bulk <= 0 && r.holders <= 0
}

// subtract subtracts what the holder gives back.
func (r *room) subtract(h *Holder) {
	r.bytes -= h.held
	r.bulk -= h.bulk
	r.holders--
}

// choose appends candidates until there is room, first the one that holds most for what it has received lately. Those that would give
// back nothing of what is needed are left out.
func (r *room) choose(chosen []*Holder, candidates []candidate) []*Holder {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.receivedAt, b.receivedAt))
	})
	for _, c := range candidates {
		if r.met() {
			break
		}
		if r.bytes <= 0 && r.holders <= 0 && c.bulk == 0 {
			continue
		}
		r.subtract(c.Holder)
		chosen = append(chosen, c.Holder)
	}
	return chosen
}

// weight returns the bytes held for each byte received lately.
func (c candidate) weight() float64 {
	const least = 1 << 10 // bytes, so that one byte more or less does not decide
	return float64(c.held) / (c.received + least)
}

// ofLargestTeam returns the candidates of the team that holds most, if it holds more than that of h will; mu is held.
func (s *Share) ofLargestTeam(h *Holder, n int64, candidates []candidate) (chosen []candidate) {
	held := make(map[string]int64)
	for other := range s.holders {
		held[other.team] += other.held
	}
	largest := h.team
	for team := range held {
		if team != "" && (held[team] > held[largest] || largest == "") {
			largest = team
		}
	}
	if largest == h.team || held[h.team]+n >= held[largest]-n {
		return nil
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.team != largest || c.phase != receiving })
}

// reason returns why the holder is evicted; mu is held.
func (h *Holder) reason() string {
	switch {
	case h.phase == idle:
		return ReasonIdle
	case h.recent(h.share.budget.Clock.Now()) < slowReceived:
		return ReasonSlow
	}
	return ReasonTeam
}
