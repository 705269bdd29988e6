package balance

import (
	"cmp"
	"slices"

	"carawaypick/pkg/clock"
)

// Waiter is a request that waits for its turn.
type Waiter[T any] struct {
	Priority int        // 0 is the most urgent
	OnTime   clock.Time // latest start at which the answer is on time
	Latest   clock.Time // latest start at which it is of any use
	Value    T

	arrived clock.Time
}

const (
	lineMemory  = 2 * clock.Second        // over which rates are taken
	restRate    = 10.0                    // starts a second that are counted on after a time without any
	leastReturn = 300 * clock.Millisecond // shortest Retry-After
	mostReturn  = 2500 * clock.Millisecond
	// lateSpare is the part of the rate that work which is late already may count on while all of it is asked for.
	lateSpare = 0.05
)

// Line orders waiting requests: those that can still be on time go first, by their latest start, then those that are
// late already. It refuses at once what it could not start in time.
//
// It answers load beyond what the backend servers can take: first come, first served would make every answer late once
// a queue has grown, whereas here only what exceeds the capacity is late or refused.
type Line[T any] struct {
	waiting  []*Waiter[T]
	arrivals meter
	starts   meter
}

// Turn is what becomes of a request that asks to wait.
type Turn struct {
	Refused bool
	After   clock.Span // ms after which a refused caller may come again
	Wait    clock.Span // expected wait in ms
}

// Arrive counts a request, whether it waits or not.
func (l *Line[T]) Arrive(now clock.Time) {
	l.arrivals.add(now)
}

// Start counts a request that is started, whether it waited or not.
func (l *Line[T]) Start(now clock.Time) {
	l.starts.add(now)
}

// Len returns the number of waiting requests.
func (l *Line[T]) Len() int {
	return len(l.waiting)
}

// Push lets w wait or refuses it; spread is a random number in [0, 1) that keeps refused callers from returning at once.
func (l *Line[T]) Push(now clock.Time, w *Waiter[T], spread float64) Turn {
	w.arrived = now
	rate := max(l.starts.rate(now), restRate)
	ahead, fresh := 0, 0
	for _, o := range l.waiting {
		if o.OnTime >= now {
			fresh++
		}
		if !l.before(now, w, o) {
			ahead++
		}
	}
	wait := clock.Span(float64(ahead+1) / rate * float64(clock.Second))
	if now.Add(wait) <= w.OnTime {
		l.waiting = append(l.waiting, w)
		return Turn{Wait: wait}
	}
	spare := max(rate-l.arrivals.rate(now), rate*lateSpare)
	wait = clock.Span((float64(fresh)/rate + float64(len(l.waiting)-fresh+1)/spare) * float64(clock.Second))
	if now.Add(wait) > w.Latest {
		after := leastReturn + clock.Span(spread*float64(min(wait, mostReturn)))
		return Turn{Refused: true, After: min(after, mostReturn), Wait: wait}
	}
	l.waiting = append(l.waiting, w)
	return Turn{Wait: wait}
}

// Pressed tells whether a request that still can be on time will be late unless it starts within the time.
func (l *Line[T]) Pressed(now clock.Time, within clock.Span) bool {
	return slices.ContainsFunc(l.waiting, func(w *Waiter[T]) bool { return w.OnTime >= now && w.OnTime < now.Add(within) })
}

// before tells whether a goes before b.
func (l *Line[T]) before(now clock.Time, a, b *Waiter[T]) bool {
	freshA, freshB := a.OnTime >= now, b.OnTime >= now
	if freshA != freshB {
		return freshA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if freshA {
		return a.OnTime < b.OnTime
	}
	return a.Latest < b.Latest
}

// Pop takes the next request out of the line.
func (l *Line[T]) Pop(now clock.Time) (w *Waiter[T], ok bool) {
	if len(l.waiting) == 0 {
		return nil, false
	}
	best := 0
	for i := range l.waiting {
		if l.before(now, l.waiting[i], l.waiting[best]) {
			best = i
		}
	}
	w = l.waiting[best]
	l.waiting = slices.Delete(l.waiting, best, best+1)
	return w, true
}

// Expired takes out what can't be started in time any more.
func (l *Line[T]) Expired(now clock.Time) (gone []*Waiter[T]) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Waiter[T]) bool {
		if now <= w.Latest {
			return false
		}
		gone = append(gone, w)
		return true
	})
	slices.SortFunc(gone, func(a, b *Waiter[T]) int { return cmp.Compare(a.arrived, b.arrived) })
	return gone
}

// Remove takes w out and tells whether it still waited.
func (l *Line[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// meterSlots divides the memory of a meter.
const meterSlots = 8

// meter counts events over lineMemory.
type meter struct {
	counts [meterSlots]int
	marks  [meterSlots]int64
	begun  clock.Time
	used   bool
}

func (m *meter) mark(now clock.Time) int64 {
	return int64(now) * meterSlots / int64(lineMemory)
}

func (m *meter) add(now clock.Time) {
	if !m.used {
		m.begun, m.used = now, true
	}
	mark := m.mark(now)
	if i := mark % meterSlots; m.marks[i] != mark {
		m.marks[i], m.counts[i] = mark, 0
	}
	m.counts[mark%meterSlots]++
}

// rate returns the events a second.
func (m *meter) rate(now clock.Time) float64 {
	if !m.used {
		return 0
	}
	mark, total := m.mark(now), 0
	for i := range m.counts {
		if mark-m.marks[i] < meterSlots {
			total += m.counts[i]
		}
	}
	span := min(max(now.Sub(m.begun), lineMemory/meterSlots), lineMemory)
	return float64(total) * float64(clock.Second) / float64(span)
}
