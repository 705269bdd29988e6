package overload

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	minRetryAfter = 100 * clock.Millisecond // unless a third of the caller's time is less
	boundDivisor  = 3                       // callers ignore a Retry-After above this part of the time that they have left
	maxSpareRate  = 1e6                     // per second
)

// Returns computes the Retry-After of rejected callers of one service at one entry. The zero value is ready to use.
//
// Each priority has a schedule with one appointment in each gap, at a random moment of it. A gap is the time in which this
// entry's part of the spare starts adds up to one. An appointment is no reservation: nobody checks it on return, so a caller
// may come to another entry, and an entry that ends takes none with it.
type Returns struct {
	schedules [LateLevel]schedule
}

// Clone returns a copy that can be changed without an effect on r.
func (r *Returns) Clone() Returns {
	return *r
}

// RetryAfterRange returns the least and the greatest Retry-After in ms of a caller that has the given ms left.
func RetryAfterRange(left clock.Span) (least, most clock.Span) {
	most = max(left/boundDivisor, 0)
	return min(minRetryAfter, most), most
}

// schedule holds the next appointment of one priority. Positions are in gaps, so that appointments keep their distance when the
// spare rate changes.
type schedule struct {
	started bool
	updated clock.Time
	rate    float64    // gaps per ms since updated
	present float64    // position of the time updated
	gap     float64    // position of the start of the gap of the next appointment
	offset  float64    // of the next appointment in its gap, in [0, 1)
	last    clock.Time // latest appointment booked
	lastPos float64    // position of it when it was booked
}

// RetryAfter returns the time after which a caller rejected now may return, which it books; 0 if it has no time left.
//
// The caller has the time left until its deadline. Spare is the starts per second that all entries probably have left at its
// priority, 0 if none are in sight, and entries the number of entries that share them. Random is in [0, 1).
func (r *Returns) RetryAfter(now clock.Time, priority int, left clock.Span, spare float64, entries int, random float64) clock.Span {
	first, bound := RetryAfterRange(left)
	if bound <= 0 {
		return 0
	}
	priority = min(max(priority, 0), LateLevel-1)
	s := &r.schedules[priority]
	s.advance(now, spareRate(spare, entries))
	if s.rate > 0 {
		s.skip(float64(first), random)
		// The comparison is in floating point: at a rate near 0 the wait is out of the range of a Span.
		if ms := math.Ceil((s.gap + s.offset - s.present) / s.rate); ms <= float64(bound) {
			wait := clock.Span(ms)
			s.book(now.Add(wait), secondRandom(random))
			for i := priority + 1; i < LateLevel; i++ {
				r.schedules[i].yield(now.Add(wait))
			}
			return wait
		}
	}
	return max(first, bound/2+clock.Span(random*float64(bound-bound/2)))
}

// Spare returns the starts per second of all entries that are left to requests that return at the level, after those that arrive
// at it or a more urgent level; for late ones, which have come before, at least the part that is kept for them.
func (s *Service) Spare(now clock.Time, level int) float64 {
	s.expire(now)
	t := s.total(now)
	spare := t.starts
	for l := range min(level+1, LateLevel) {
		spare -= t.arrivals[l]
	}
	if level == LateLevel {
		spare = max(spare, minLateFraction*t.starts)
	}
	return max(spare, 0)
}

// spareRate returns this entry's part of the spare starts, per ms.
func spareRate(spare float64, entries int) float64 {
	if !(spare > 0) { // NaN too
		return 0
	}
	return min(spare, maxSpareRate) / float64(max(entries, 1)) / float64(clock.Second)
}

// secondRandom returns a random number of the low bits of random.
func secondRandom(random float64) float64 {
	_, low := math.Modf(random * (1 << 20))
	return low
}

// advance moves the present to now, and at least to the position of the last appointment booked once its time has passed: a rate
// that fell since then would otherwise keep it in the future.
func (s *schedule) advance(now clock.Time, rate float64) {
	s.present += s.rate * float64(max(now.Sub(s.updated), 0))
	if now > s.last {
		s.present = max(s.present, s.lastPos)
	}
	s.updated, s.rate = max(s.updated, now), rate
}

// skip moves the next appointment on if it is less than the given ms ahead. A gap whose appointment passed unused gets no
// second one.
func (s *schedule) skip(ms, random float64) {
	earliest := s.present + ms*s.rate
	if !s.started {
		s.started, s.gap, s.offset = true, s.present, random
	}
	if s.gap+s.offset >= earliest {
		return
	}
	s.gap, s.offset = max(s.gap+1, math.Floor(earliest)), random
	if s.gap+s.offset < earliest {
		s.gap++
	}
}

// book takes the next appointment, which is at the given time; random places the one after it.
func (s *schedule) book(at clock.Time, random float64) {
	s.last, s.lastPos = max(s.last, at), s.gap+s.offset
	s.gap, s.offset = s.gap+1, random
}

// yield gives up one gap for an appointment of a more urgent priority at the given time, but none after that time.
func (s *schedule) yield(at clock.Time) {
	position := s.present + s.rate*float64(at.Sub(s.updated))
	s.gap = max(s.gap, min(s.gap+1, position))
}
