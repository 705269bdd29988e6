package balance

import (
	"cmp"
	"slices"

	"carawaypick/pkg/clock"
)

// Waiter is a request that waits for admission.
type Waiter[T any] struct {
	Priority     int        // 0 is the most urgent
	LatestOnTime clock.Time // latest start for which the answer is on time
	LatestUseful clock.Time // latest start for which the answer is still useful
	Value        T

	arrivedAt clock.Time
}

const (
	rateWindow        = 2 * clock.Second         // window of the arrival and start rates
	minStartRate      = 10.0                     // minimum start rate per second that is assumed; the measured rate is low after an idle period
	minWaitRetryAfter = 300 * clock.Millisecond  // minimum Retry-After
	maxWaitRetryAfter = 2500 * clock.Millisecond // maximum Retry-After
	// minLateRateFraction is the minimum fraction of the start rate that late requests are assumed to get, even if arrivals use up the rate.
	minLateRateFraction = 0.05
)

// WaitQueue orders waiting requests: those that can still be on time go first, by priority and latest start, then those that
// are already late. It rejects requests immediately if they would start too late to be useful.
//
// Under overload, a first-come, first-served queue would make every answer late once it has grown. Here only the load in
// excess of the capacity is late or rejected.
type WaitQueue[T any] struct {
	MaxRate float64 // starts per second that are possible at most; 0 for no bound

	waiting  []*Waiter[T]
	arrivals rateCounter
	starts   rateCounter
}

// Admission is the result of a Push.
type Admission struct {
	Rejected     bool
	RetryAfter   clock.Span // ms after which a rejected caller may retry
	ExpectedWait clock.Span // expected time in ms until the request starts
}

// Clone returns a copy that can be changed without an effect on q; it shares the waiting requests themselves.
func (q *WaitQueue[T]) Clone() WaitQueue[T] {
	c := *q
	c.waiting = slices.Clone(q.waiting)
	return c
}

// RecordArrival counts a request that arrives, whether or not it has to wait.
func (q *WaitQueue[T]) RecordArrival(now clock.Time) {
	q.arrivals.add(now)
}

// RecordStart counts a request that is started, whether or not it waited.
func (q *WaitQueue[T]) RecordStart(now clock.Time) {
	q.starts.add(now)
}

// Len returns the number of waiting requests.
func (q *WaitQueue[T]) Len() int {
	return len(q.waiting)
}

// Push queues or rejects w; jitter is a random number in [0, 1) that spreads the retries of rejected callers.
func (q *WaitQueue[T]) Push(now clock.Time, w *Waiter[T], jitter float64) Admission {
	w.arrivedAt = now
	rate := max(q.starts.rate(now), minStartRate)
	if q.MaxRate > 0 {
		rate = min(rate, q.MaxRate)
	}
	ahead, onTime := 0, 0
	for _, o := range q.waiting {
		if o.LatestOnTime >= now {
			onTime++
		}
		if !q.goesBefore(now, w, o) {
			ahead++
		}
	}
	wait := clock.Span(float64(ahead+1) / rate * float64(clock.Second))
	if now.Add(wait) <= w.LatestOnTime {
		q.waiting = append(q.waiting, w)
		return Admission{ExpectedWait: wait}
	}
	lateRate := max(rate-q.arrivals.rate(now), rate*minLateRateFraction)
	wait = clock.Span((float64(onTime)/rate + float64(len(q.waiting)-onTime+1)/lateRate) * float64(clock.Second))
	if now.Add(wait) > w.LatestUseful {
		retryAfter := minWaitRetryAfter + clock.Span(jitter*float64(min(wait, maxWaitRetryAfter)))
		return Admission{Rejected: true, RetryAfter: min(retryAfter, maxWaitRetryAfter), ExpectedWait: wait}
	}
	q.waiting = append(q.waiting, w)
	return Admission{ExpectedWait: wait}
}

// Urgent reports whether a request that can still be on time will be late unless it starts within the given ms.
func (q *WaitQueue[T]) Urgent(now clock.Time, within clock.Span) bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter[T]) bool { return w.LatestOnTime >= now && w.LatestOnTime < now.Add(within) })
}

// goesBefore reports whether a is started before b.
func (q *WaitQueue[T]) goesBefore(now clock.Time, a, b *Waiter[T]) bool {
	onTimeA, onTimeB := a.LatestOnTime >= now, b.LatestOnTime >= now
	if onTimeA != onTimeB {
		return onTimeA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if onTimeA {
		return a.LatestOnTime < b.LatestOnTime
	}
	return a.LatestUseful < b.LatestUseful
}

// Pop removes and returns the next request to start.
func (q *WaitQueue[T]) Pop(now clock.Time) (w *Waiter[T], ok bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	best := 0
	for i := range q.waiting {
		if q.goesBefore(now, q.waiting[i], q.waiting[best]) {
			best = i
		}
	}
	w = q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return w, true
}

// TakeExpired removes and returns the requests whose answers would no longer be useful, in order of arrival.
func (q *WaitQueue[T]) TakeExpired(now clock.Time) (expired []*Waiter[T]) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter[T]) bool {
		if now <= w.LatestUseful {
			return false
		}
		expired = append(expired, w)
		return true
	})
	slices.SortFunc(expired, func(a, b *Waiter[T]) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	return expired
}

// Remove removes w and reports whether it was still queued.
func (q *WaitQueue[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// rateBuckets is the number of buckets in the window of a rateCounter.
const rateBuckets = 8

// rateCounter measures a rate of events over rateWindow.
type rateCounter struct {
	counts    [rateBuckets]int
	buckets   [rateBuckets]int64 // time bucket that each count belongs to
	startedAt clock.Time
	started   bool
}

func (c *rateCounter) bucket(now clock.Time) int64 {
	return int64(now) * rateBuckets / int64(rateWindow)
}

func (c *rateCounter) add(now clock.Time) {
	if !c.started {
		c.startedAt, c.started = now, true
	}
	bucket := c.bucket(now)
	if i := bucket % rateBuckets; c.buckets[i] != bucket {
		c.buckets[i], c.counts[i] = bucket, 0
	}
	c.counts[bucket%rateBuckets]++
}

// rate returns the events per second.
func (c *rateCounter) rate(now clock.Time) float64 {
	if !c.started {
		return 0
	}
	bucket, total := c.bucket(now), 0
	for i := range c.counts {
		if bucket-c.buckets[i] < rateBuckets {
			total += c.counts[i]
		}
	}
	span := min(max(now.Sub(c.startedAt), rateWindow/rateBuckets), rateWindow)
	return float64(total) * float64(clock.Second) / float64(span)
}
