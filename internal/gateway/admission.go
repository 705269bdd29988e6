package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/internal/overload"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	callerLatency            = 15 * clock.Millisecond   // from a request's start at the caller to its arrival here, over a new connection
	typicalStreamDuration    = 2500 * clock.Millisecond // from the start of a stream to its end
	maxQueueTime             = 1200 * clock.Millisecond // longer waits are better rejected with Retry-After
	queueRetryAfter          = 500 * clock.Millisecond  // Retry-After of a request whose wait timed out
	minGaps                  = 8                        // least number of gaps between events for an observation of the load
	urgentWithin             = 60 * clock.Millisecond   // the concurrency limits give up their margin for prefill if a waiting request must start within this time to be on time
	dispatchInterval         = 50 * clock.Millisecond   // between two dispatches of waiting requests
	dispatchesPerObservation = 2                        // number of dispatches for each observation of the load
)

// reasonTimeOver is the reason of the rejection of a request whose time ended while it waited.
const reasonTimeOver = "the time is over"

// admission holds the waiting requests of all services.
type admission struct {
	mu       sync.Mutex
	services map[string]*serviceQueue
	random   func() float64                  // draws in [0, 1) of coordinated admission
	timeouts map[string]*balance.WindowedMax // longest remaining times in ms of the requests of a route, by its name
}

// serviceQueue holds the waiting requests and the concurrency limit of one service.
type serviceQueue struct {
	service    routing.Service // as in the latest configuration that a request was routed by
	waiting    balance.WaitQueue[chan *rejection]
	limiter    balance.ConcurrencyLimiter
	reserved   int // admitted requests that are not yet sent
	firstEvent balance.FirstEventEstimate
	gapSum     float64 // ms of gaps between events since the last observation
	gapCount   int

	coordinated overload.Queue[turn] // replaces waiting with coordinated admission
	shed        shedCounts
	teams       overload.TeamDemand
	returns     overload.Returns
}

func newAdmission() *admission {
	return &admission{random: rand.Float64, services: make(map[string]*serviceQueue), timeouts: make(map[string]*balance.WindowedMax)}
}

// queueOf returns the queue of the service and updates its limiter from the service's configuration; mu is held.
func (a *admission) queueOf(s routing.Service) *serviceQueue {
	q := a.services[s.Name]
	if q == nil {
		q = &serviceQueue{}
		q.coordinated.TeamReject = q.teams.RejectProbability
		a.services[s.Name] = q
	}
	q.service = s
	stride := float64(max(s.Engine.StepsPerPass, 1))
	q.limiter.BasePassMs, q.limiter.PriorCostMs = s.Engine.StepMs*stride, s.Engine.StepMsPerRequest*stride
	return q
}

// recordGap records the gap in ms between two events of a stream.
func (a *admission) recordGap(now clock.Time, service string, gap clock.Span) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.services[service]; q != nil {
		q.limiter.ObserveGap(now, gap)
		q.gapSum += float64(gap)
		q.gapCount++
	}
}

// recordFirstEvent records the time in ms from a request's admission to the first event of its stream.
func (a *admission) recordFirstEvent(service string, delay clock.Span) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.services[service]; q != nil {
		q.firstEvent.Observe(delay)
	}
}

// room returns what the service's servers have room for, and how many more requests its limit and their rates admit now; mu is
// held.
func (e *Entry) room(q *serviceQueue, servers []*routing.Server, now clock.Time) (room Room, free float64) {
	cost, urgent := e.meanCost(q.service.Name, q, now), q.waiting.Urgent(now, urgentWithin)
	room = e.loads.Room(servers, q.service, func(slots int) float64 { return q.limiter.Limit(cost, slots, urgent) })
	if q.limiter.Saturated(now) {
		return room, 0
	}
	return room, room.Requests - float64(e.loads.TotalInFlight(servers)+q.reserved)
}

// admits reports whether a request may be sent to the service now, apart from those that wait; mu is held.
func (e *Entry) admits(q *serviceQueue, servers []*routing.Server, now clock.Time) bool {
	_, free := e.room(q, servers, now)
	return free >= 1 && !e.loads.AllTripped(servers, true)
}

// meanCost returns the ms that a request adds to a pass, averaged over the estimates of all entries so that their limits
// agree; mu is held.
func (e *Entry) meanCost(name string, q *serviceQueue, now clock.Time) float64 {
	sum, count := 0.0, 0.0
	for _, cost := range append(e.peers.Costs(name), q.limiter.RequestCost(now)) {
		if cost > 0 {
			sum += cost
			count++
		}
	}
	return sum / max(count, 1)
}

// ownCosts returns this entry's estimates in ms of what a request adds to a pass, by service.
func (e *Entry) ownCosts() map[string]float64 {
	now := e.clock.Now()
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	costs := make(map[string]float64)
	for name, q := range e.admission.services {
		if cost := q.limiter.RequestCost(now); cost > 0 {
			costs[name] = cost
		}
	}
	return costs
}

// waitForAdmission blocks until the request is admitted and a slot is reserved for it; otherwise it returns a rejection.
func (e *Entry) waitForAdmission(ctx context.Context, c *call) *rejection {
	servers := e.loads.Available(e.state.View().Services[c.service.Name])
	if e.coordinated() {
		return e.waitCoordinated(ctx, c, servers)
	}
	now := e.clock.Now()
	e.admission.mu.Lock()
	q := e.admission.queueOf(c.service)
	q.limiter.GapTarget = c.route.GapTarget
	q.waiting.RecordArrival(now)
	// Without servers the request is admitted at once, and pickServer rejects it.
	if len(servers) == 0 || (q.waiting.Len() == 0 && e.admits(q, servers, now)) {
		e.reserve(q, c, now)
		e.admission.mu.Unlock()
		return nil
	}
	room, _ := e.room(q, servers, now)
	if room.Closed {
		e.admission.mu.Unlock()
		return rejectionOfRoom(room)
	}
	q.waiting.MaxRate = room.Rate
	waiter := newWaiter(c, now, q.firstEvent.Delay())
	if e.loads.AllTripped(servers, false) {
		waiter.LatestUseful = max(waiter.LatestUseful, c.deadline.Add(-typicalStreamDuration)) // a tripped group may recover at any time
	}
	queued := q.waiting.Push(now, waiter, rand.Float64())
	e.admission.mu.Unlock()
	if queued.Rejected {
		return &rejection{status: http.StatusServiceUnavailable, reason: "the wait would be too long", retryAfter: queued.RetryAfter}
	}
	rej, decided := e.waitForTurn(ctx, c, waiter.Value)
	if !decided {
		e.admission.mu.Lock()
		defer e.admission.mu.Unlock()
		if !q.waiting.Remove(waiter) && <-waiter.Value == nil {
			c.reservedIn = q
		}
		return rej
	}
	if rej == nil {
		c.reservedIn = q // dispatch has reserved the slot
	}
	return rej
}

// waitForTurn waits until the request is admitted or rejected by dispatch, which it reports as decided, until its time is
// over, or until news of a crash quarantine it.
func (e *Entry) waitForTurn(ctx context.Context, c *call, turn <-chan *rejection) (rej *rejection, decided bool) {
	for {
		news := e.suspects.nextCrash()
		if rej := e.rejectQuarantined(c); rej != nil {
			return rej, false
		}
		select {
		case rej := <-turn:
			return rej, true
		case <-news:
		case <-ctx.Done():
			return &rejection{status: http.StatusServiceUnavailable, reason: reasonTimeOver}, false
		}
	}
}

// newWaiter returns the queue item of c; delay is the expected time in ms from admission to a stream's first event.
func newWaiter(c *call, now clock.Time, delay clock.Span) *balance.Waiter[chan *rejection] {
	w := &balance.Waiter[chan *rejection]{Priority: c.priority(), Value: make(chan *rejection, 1)}
	if c.route.Kind == routing.Stream {
		w.LatestOnTime = c.start.Add(c.route.LatencyTarget - callerLatency - delay)
		w.LatestUseful = min(now.Add(maxQueueTime), c.deadline.Add(-typicalStreamDuration))
		return w
	}
	w.LatestOnTime = c.start.Add(c.route.LatencyTarget / 2)
	w.LatestUseful = now.Add(min(maxQueueTime, c.deadline.Sub(now)/2))
	return w
}

// reserve admits the request and reserves a slot for it; mu is held.
func (e *Entry) reserve(q *serviceQueue, c *call, now clock.Time) {
	q.waiting.RecordStart(now)
	q.reserved++
	c.reservedIn = q
}

// releaseReservation releases the request's reserved slot, if any, once the request was sent or will not be sent.
func (e *Entry) releaseReservation(c *call) {
	if c.reservedIn == nil {
		return
	}
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	c.reservedIn.reserved--
	c.reservedIn = nil
}

// dispatch rejects waiting requests whose latest useful start has passed and admits others into free slots.
func (e *Entry) dispatch() {
	now := e.clock.Now()
	view := e.state.View()
	on := e.coordinated()
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	for name, q := range e.admission.services {
		if on || q.coordinated.Len() > 0 {
			e.dispatchCoordinated(q, e.loads.Available(view.Services[name]), now)
		}
		for _, w := range q.waiting.TakeExpired(now) {
			w.Value <- &rejection{status: http.StatusServiceUnavailable, reason: "no place became free in time", retryAfter: queueRetryAfter}
		}
		servers := e.loads.Available(view.Services[name])
		e.rejectWaitingIfClosed(q, servers, now)
		for q.waiting.Len() > 0 && e.admits(q, servers, now) {
			w, _ := q.waiting.Pop(now)
			q.waiting.RecordStart(now)
			q.reserved++
			w.Value <- nil
		}
	}
}

// rejectWaitingIfClosed rejects all waiting requests if no server accepts any from this entry; mu is held.
func (e *Entry) rejectWaitingIfClosed(q *serviceQueue, servers []*routing.Server, now clock.Time) {
	if q.waiting.Len() == 0 {
		return
	}
	room, _ := e.room(q, servers, now)
	if !room.Closed {
		return
	}
	for w, ok := q.waiting.Pop(now); ok; w, ok = q.waiting.Pop(now) {
		w.Value <- rejectionOfRoom(room)
	}
}

// rejectionOfRoom returns the rejection of a request that no server accepts from this entry.
func rejectionOfRoom(room Room) *rejection {
	if room.ReopenIn > 0 {
		return rejectionOfAsked(room.ReopenIn)
	}
	return rejectionOfLimited()
}

// observeLoad passes the mean gap between events to each service's concurrency limiter and logs the limit.
func (e *Entry) observeLoad() {
	now := e.clock.Now()
	view := e.state.View()
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	for name, q := range e.admission.services {
		servers := e.loads.Available(view.Services[name])
		if q.gapCount < minGaps || len(servers) == 0 {
			continue
		}
		if e.coordinated() {
			q.limiter.InitialUntil = initialMapUntil(servers, now, clock.Wall())
		}
		running := float64(e.loads.TotalInFlight(servers)) / float64(len(servers))
		gap := q.gapSum / float64(q.gapCount)
		q.limiter.ObserveMeanGap(now, gap, running, servers[0].Slots)
		cost := e.meanCost(name, q, now)
		limit := q.limiter.Limit(cost, servers[0].Slots, false)
		e.limitedLogger.Log("crowd", "msg", "load", "service", name, "gap", gap, "running", running, "cost", cost, "limit", limit, "waiting", q.waiting.Len(), "events", q.gapCount)
		q.gapSum, q.gapCount = 0, 0
	}
}

// initialMapTime is the time in ms after the start of a group's last rank within which its first planned map is in use.
const initialMapTime = 4 * clock.Second

// initialMapUntil returns the time until which groups of the servers may use their initial expert map; wall is the time of day.
func initialMapUntil(servers []*routing.Server, now clock.Time, wall int64) (until clock.Time) {
	for _, s := range servers {
		if age := clock.Span(wall - s.StartedAt); s.Group != "" && age < initialMapTime {
			until = max(until, now.Add(initialMapTime-max(age, 0)))
		}
	}
	return until
}

// priority returns the request's priority, 0 for the most urgent.
func (c *call) priority() int {
	if c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}
