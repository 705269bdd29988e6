package overload

import (
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

const (
	dispatchStep = 40 * clock.Millisecond  // least time between two dispatches while peers are heard
	maxDispatch  = 100 * clock.Millisecond // longest time that one dispatch stands for, so that a pause starts no burst
	lateReserve  = 4                       // divides the time in which a request that can't be on time must start late, since it waits in vain when entries return that were not heard
)

// Waiter is a request that arrives and may wait.
type Waiter[T any] struct {
	Priority     int        // 0 is the most urgent
	LatestOnTime clock.Time // latest start for which the answer is on time
	LatestUseful clock.Time // latest start for which the answer is still useful
	Team         string
	Value        T

	promoted bool // admitted by the starvation bound, so it waits at level 0
	demoted  bool // too many requests on time are ahead, so it waits as a late one
}

// level returns the level of w now.
func (w *Waiter[T]) level(now clock.Time) int {
	switch {
	case w.LatestOnTime <= now, w.demoted:
		return LateLevel
	case w.promoted:
		return 0
	}
	return LevelOf(w.Priority)
}

// Decision is what becomes of a request that arrives.
type Decision int

// Decisions.
const (
	Start Decision = iota
	Wait
	Reject
)

// Queue holds the waiting requests of one service at one entry, and decides when they start.
type Queue[T any] struct {
	Service

	waiters      []*Waiter[T]
	credit       [Levels]float64 // starts that the waiting requests of the level are due
	rejections   [Levels]float64 // rejections that the requests of the level are due
	rejecting    [Levels]bool    // rejections has its first, random value
	dispatchedAt clock.Time
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.waiters)
}

// Arrive decides on a request that arrives while the given number of slots is free; draw returns a random number in [0, 1). A
// request that is to wait is queued.
func (q *Queue[T]) Arrive(now clock.Time, w *Waiter[T], free float64, draw func() float64) Decision {
	q.count(now)
	q.free = free
	level, budget := w.level(now), w.LatestOnTime.Sub(now)
	if level == LateLevel {
		budget = w.LatestUseful.Sub(now)
	}
	q.RecordArrival(now, level, budget)
	if draw() < q.StartProbability(now, free, level) {
		q.RecordStart(now)
		return Start
	}
	probability := q.RejectProbability(now, level, budget)
	if bound := q.unbounded(now, level, budget); bound > probability {
		w.promoted = draw() < (bound-probability)/(1-probability)
	}
	if q.TeamReject != nil {
		probability = q.TeamReject(now, level, w.Team, probability)
	}
	if q.rejects(level, probability, draw) {
		w.demoted = level != LateLevel && !q.rejectsLate(now, w, draw)
		if !w.demoted {
			return Reject
		}
	}
	q.waiters = append(q.waiters, w)
	q.count(now)
	return Wait
}

// rejectsLate reports whether a request that can't be on time is rejected rather than served late.
func (q *Queue[T]) rejectsLate(now clock.Time, w *Waiter[T], draw func() float64) bool {
	budget := w.LatestUseful.Sub(now)
	probability := q.RejectProbability(now, LateLevel, budget/lateReserve)
	if q.TeamReject != nil {
		probability = q.TeamReject(now, LateLevel, w.Team, probability)
	}
	if q.rejects(LateLevel, probability, draw) {
		return true
	}
	q.RecordArrival(now, LateLevel, budget)
	return false
}

// rejects reports whether a request is rejected with the probability. The probabilities of the requests of a level add up to
// the number of rejections, rather than each request being drawn for, so that entries with few requests reject equal parts.
func (q *Queue[T]) rejects(level int, probability float64, draw func() float64) bool {
	if !q.rejecting[level] {
		q.rejecting[level], q.rejections[level] = true, draw()
	}
	q.rejections[level] += probability
	if q.rejections[level] < 1 {
		return false
	}
	q.rejections[level]--
	return true
}

// Dispatch removes and returns the requests that start now, while the given number of slots is free.
func (q *Queue[T]) Dispatch(now clock.Time, free float64) (started []*Waiter[T]) {
	q.predict(now)
	elapsed := now.Sub(q.dispatchedAt)
	peers, _ := q.Reports(now)
	if peers > 0 && elapsed < dispatchStep {
		return nil
	}
	q.dispatchedAt, q.free = now, free
	q.count(now)
	elapsed = min(elapsed, maxDispatch)
	slots := q.Slots(now, free, elapsed)
	late, ownLate := q.LateShare(now, elapsed)
	var shares [Levels]float64
	for l := range Levels {
		shares[l] = q.FreeShare(now, slots-late, l)
	}
	shares[LateLevel] += ownLate
	for l := range Levels {
		if q.waiting[l] == 0 {
			q.credit[l] = min(q.credit[l], 0)
			continue
		}
		// The remainder is kept rather than drawn, so that requests at entries with few of them wait equally long.
		q.credit[l] = min(q.credit[l]+shares[l], float64(q.waiting[l]))
		count := int(math.Floor(q.credit[l] + roundingError))
		if peers == 0 {
			count = min(count, int(free)-len(started))
		} else if count <= 0 && q.credit[l] > maxDebt && q.lastChance(now, l) {
			count = 1
		}
		for range count {
			started = append(started, q.take(now, l))
			q.credit[l]--
			q.RecordStart(now)
		}
	}
	q.count(now)
	return started
}

// lastChance reports whether a request of the level will be late unless it starts before the next dispatch.
func (q *Queue[T]) lastChance(now clock.Time, level int) bool {
	return level != LateLevel && slices.ContainsFunc(q.waiters, func(w *Waiter[T]) bool {
		return w.level(now) == level && w.LatestOnTime < now.Add(maxDispatch)
	})
}

// TakeFirst removes and returns the request that must start first, to probe servers that may have failed.
func (q *Queue[T]) TakeFirst(now clock.Time) (w *Waiter[T], ok bool) {
	q.count(now)
	for l := range Levels {
		if q.waiting[l] > 0 {
			w = q.take(now, l)
			q.RecordStart(now)
			q.count(now)
			return w, true
		}
	}
	return nil, false
}

// maxDebt is the credit below which no request starts before its turn so that it is on time.
const maxDebt = -1.0

// roundingError is the error of the sum of some shares.
const roundingError = 1e-9

// take removes and returns the waiting request of the level that must start first.
func (q *Queue[T]) take(now clock.Time, level int) *Waiter[T] {
	best := -1
	for i, w := range q.waiters {
		if w.level(now) == level && (best < 0 || w.before(q.waiters[best], level)) {
			best = i
		}
	}
	w := q.waiters[best]
	q.waiters = slices.Delete(q.waiters, best, best+1)
	return w
}

// before reports whether w starts before o, which is of the same level.
func (w *Waiter[T]) before(o *Waiter[T], level int) bool {
	if level == LateLevel {
		return w.LatestUseful < o.LatestUseful
	}
	return w.LatestOnTime < o.LatestOnTime
}

// TakeExpired removes and returns the requests whose answers would no longer be useful.
func (q *Queue[T]) TakeExpired(now clock.Time) (expired []*Waiter[T]) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[T]) bool {
		if now <= w.LatestUseful {
			return false
		}
		expired = append(expired, w)
		return true
	})
	q.count(now)
	return expired
}

// TakeAll removes and returns all waiting requests.
func (q *Queue[T]) TakeAll() (all []*Waiter[T]) {
	all, q.waiters = q.waiters, nil
	q.SetWaiting([Levels]int{})
	return all
}

// Remove removes w and reports whether it was still queued.
func (q *Queue[T]) Remove(now clock.Time, w *Waiter[T]) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.count(now)
	return true
}

// count counts the waiting requests by level.
func (q *Queue[T]) count(now clock.Time) {
	var waiting [Levels]int
	for _, w := range q.waiters {
		waiting[w.level(now)]++
	}
	q.SetWaiting(waiting)
}
