package overload

import (
	"maps"
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

const (
	dispatchStep = 40 * clock.Millisecond  // least time between two dispatches while peers are heard
	maxDispatch  = 100 * clock.Millisecond // longest time that one dispatch stands for, so that a pause starts no burst
	lateReserve  = 5                       // divides the time in which a request that can't be on time must start late, since it waits in vain when entries return that were not heard
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

// Level returns the level of w now.
func (w *Waiter[T]) Level(now clock.Time) int {
	return w.level(now)
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
	credit       [Levels]float64       // starts that the waiting requests of the level are due
	rejections   map[teamLevel]float64 // rejections that the requests of a team at the level are due
	dispatchedAt clock.Time
}

// Clone returns a copy that can be changed without an effect on q. TeamReject is that of q; waiting requests share their values.
func (q *Queue[T]) Clone() Queue[T] {
	c := *q
	c.Service = q.Service.Clone()
	c.waiters, c.rejections = slices.Clone(q.waiters), maps.Clone(q.rejections)
	for i, w := range c.waiters {
		waiter := *w
		c.waiters[i] = &waiter
	}
	return c
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.waiters)
}

// Arrive decides on a request that arrives while the given number of slots is free; draw returns a random number in [0, 1). A
// request that is to wait is queued.
func (q *Queue[T]) Arrive(now clock.Time, w *Waiter[T], free float64, draw func() float64) Decision {
	level, budget := q.recordArrival(now, w, free)
	if draw() < q.StartProbability(now, free, level) {
		q.RecordStart(now)
		return Start
	}
	probability, promotion := q.rejection(now, w, level, budget)
	if promotion > 0 {
		w.promoted = draw() < promotion
	}
	initial := draw()
	if q.rejects(level, w.Team, probability, initial) {
		w.demoted = level != LateLevel && !q.rejectsLate(now, w, initial)
		if !w.demoted {
			return Reject
		}
	}
	q.waiters = append(q.waiters, w)
	q.count(now)
	return Wait
}

// rejectsLate reports whether a request that can't be on time is rejected rather than served late.
func (q *Queue[T]) rejectsLate(now clock.Time, w *Waiter[T], initial float64) bool {
	budget := w.LatestUseful.Sub(now)
	if q.rejects(LateLevel, w.Team, q.lateRejection(now, w), initial) {
		return true
	}
	q.RecordArrival(now, LateLevel, budget)
	return false
}

// lateRejection returns the probability that w, which can't be on time, is rejected rather than served late.
func (q *Queue[T]) lateRejection(now clock.Time, w *Waiter[T]) (probability float64) {
	probability = q.RejectProbability(now, LateLevel, w.LatestUseful.Sub(now)/lateReserve)
	if q.TeamReject != nil {
		probability = q.TeamReject(now, LateLevel, w.Team, probability)
	}
	return probability
}

// recordArrival counts w, and returns its level and the time in ms within which it must start.
func (q *Queue[T]) recordArrival(now clock.Time, w *Waiter[T], free float64) (level int, budget clock.Span) {
	q.count(now)
	q.free = free
	level, budget = w.level(now), w.LatestOnTime.Sub(now)
	if level == LateLevel {
		budget = w.LatestUseful.Sub(now)
	}
	q.RecordArrival(now, level, budget)
	return level, budget
}

// rejection returns the probability that w is rejected if it does not start at once, and the probability that it is promoted by
// the starvation bound.
func (q *Queue[T]) rejection(now clock.Time, w *Waiter[T], level int, budget clock.Span) (probability, promotion float64) {
	probability = q.RejectProbability(now, level, budget)
	if unbounded := q.unbounded(now, level, budget); unbounded > probability {
		promotion = (unbounded - probability) / (1 - probability)
	}
	if q.TeamReject != nil {
		probability = q.TeamReject(now, level, w.Team, probability)
	}
	return probability, promotion
}

// Odds are the probabilities of the decisions on a request that arrives.
type Odds struct {
	Level        int
	ExpectedWait float64 // ms; infinite if more urgent requests use all starts
	Start        float64 // probability that it starts at once
	Share        float64 // share of the requests of its team and level that can't be on time, if they can't start at once; they wait as late ones if few do
	Reject       float64 // probability that it is rejected if it can't start at once: 0 or 1 once a request of the team was decided on
}

// Odds returns the probabilities of the decisions on a request, and counts it as one that arrives. It is for copies of a queue.
func (q *Queue[T]) Odds(now clock.Time, w *Waiter[T], free float64) (o Odds) {
	level, budget := q.recordArrival(now, w, free)
	o.Level, o.Start = level, q.StartProbability(now, free, level)
	o.Share, _ = q.rejection(now, w, level, budget)
	o.Reject = q.rejectOdds(level, w.Team, o.Share)
	if level != LateLevel {
		o.Reject = min(o.Reject, q.rejectOdds(LateLevel, w.Team, q.lateRejection(now, w)))
	}
	o.ExpectedWait = q.ExpectedWait(now, level)
	return o
}

// rejectOdds returns the probability with which rejects reports true.
func (q *Queue[T]) rejectOdds(level int, team string, probability float64) float64 {
	due, known := q.rejections[teamLevel{hashOf(team), uint8(level)}]
	switch {
	case !known:
		return probability
	case due+probability >= 1:
		return 1
	}
	return 0
}

// rejects reports whether a request is rejected with the probability; initial is a random number in [0, 1). The probabilities of the requests of a team at a level add
// up to the number of rejections, rather than each request being drawn for, so that entries with few requests reject equal
// parts. A sum over teams with different probabilities would always reject the same team if their requests alternate.
func (q *Queue[T]) rejects(level int, team string, probability, initial float64) bool {
	key := teamLevel{hashOf(team), uint8(level)}
	due, known := q.rejections[key]
	if !known {
		if q.rejections == nil {
			q.rejections = make(map[teamLevel]float64)
		}
		if len(q.rejections) >= maxTrackedTeams {
			clear(q.rejections) // new random values keep the probabilities
		}
		due = initial
	}
	due += probability
	rejected := due >= 1
	if rejected {
		due--
	}
	q.rejections[key] = due
	return rejected
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
