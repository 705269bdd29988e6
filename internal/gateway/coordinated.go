package gateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"

	"carawaypick/internal/balance"
	"carawaypick/internal/datagram"
	"carawaypick/internal/overload"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// reasonNoCapacity is the reason of a rejection by coordinated admission.
const reasonNoCapacity = "the service lacks capacity"

const (
	maxDemandSize     = 200              // bytes of the demand in one heartbeat
	minPatience       = 2 * clock.Second // callers wait at least that long for the first event of a stream
	patienceFactor    = 4                // callers wait that multiple of the latency target for the first event of a stream if it is longer
	timeoutWindow     = clock.Minute     // in which the longest remaining time of a route's requests is found
	returningFraction = 5.0 / 6          // of the longest remaining time: a request with less is of a returning caller, as Retry-After is a sixth of the time at least
	shedLogInterval   = clock.Second     // between two log lines of a service that rejects
	maxLoggedWait     = clock.Minute     // stands for an infinite wait in logs and metrics
)

// turn is a request that waits for its turn.
type turn struct {
	call   *call
	result chan *rejection // receives nil if the request is admitted
}

// shedCounts counts the requests of a service by priority since the last log line.
type shedCounts struct {
	arrived, rejected [overload.LateLevel]int
	since             clock.Time
}

// coordinated reports whether coordinated admission is on.
func (e *Entry) coordinated() bool {
	config, known := e.state.View().Config, e.peers.Entries().Known
	if last := e.coordination.Load(); last != nil && last.config == config && last.known == known {
		return last.on
	}
	next := &coordination{config: config, known: known, on: overload.Coordinated(config, known)}
	e.coordination.Store(next)
	return next.on
}

// coordination is whether coordinated admission is on, for one configuration and number of entries.
type coordination struct {
	config *routing.Config
	known  int
	on     bool
}

// waitCoordinated blocks until the request is admitted and a slot is reserved for it; otherwise it returns a rejection, at once
// if the request can't be served.
func (e *Entry) waitCoordinated(ctx context.Context, c *call, servers []*routing.Server) *rejection {
	now := e.clock.Now()
	c.coordinated = true
	e.admission.mu.Lock()
	a, rej := e.arriveCoordinated(c, servers, now)
	if rej != nil {
		e.admission.mu.Unlock()
		return rej
	}
	q, w, decision := a.queue, a.waiter, overload.Start
	if w == nil {
		q.coordinated.RecordStart(now)
	} else {
		decision = q.coordinated.Arrive(now, w, a.free, e.admission.random)
		q.shed.arrived[overload.LevelOf(c.urgency())]++
	}
	var retryAfter clock.Span
	switch decision {
	case overload.Start:
		e.hold(q, c)
	case overload.Reject:
		e.countShed(q, c.urgency())
		retryAfter = e.retryAfter(q, w, now)
	}
	e.admission.mu.Unlock()
	switch decision {
	case overload.Start:
		return nil
	case overload.Reject:
		return &rejection{status: http.StatusServiceUnavailable, reason: reasonNoCapacity, retryAfter: retryAfter}
	}
	return e.waitInQueue(ctx, c, q, w)
}

// arrival is a request on which coordinated admission decides.
type arrival struct {
	queue  *serviceQueue
	waiter *overload.Waiter[turn] // nil without servers: the request is admitted at once, and pickServer rejects it
	room   Room
	free   float64 // requests of all entries that are free to start
}

// arriveCoordinated counts the request for its team and returns what the decision on it needs, or the rejection if no server
// accepts it; mu is held.
func (e *Entry) arriveCoordinated(c *call, servers []*routing.Server, now clock.Time) (a arrival, rej *rejection) {
	q := e.admission.queueOf(c.service)
	a.queue = q
	q.limiter.GapTarget = c.route.GapTarget
	used := e.admission.usedTime(now, c)
	if len(servers) == 0 {
		return a, nil
	}
	if a.room, a.free = e.coordinatedRoom(q, servers, now); a.room.Closed && !e.settling() {
		return a, rejectionOfRoom(a.room)
	}
	a.waiter = q.newWaiter(c, now, used)
	if e.loads.AllTripped(servers, false) {
		a.free = 0
		a.waiter.LatestUseful = max(a.waiter.LatestUseful, c.deadline.Add(-typicalStreamDuration)) // a tripped group may recover at any time
	}
	q.teams.Record(now, a.waiter.Level(now), c.team.Name)
	return a, nil
}

// waitInQueue waits until the request is admitted or rejected by dispatch.
func (e *Entry) waitInQueue(ctx context.Context, c *call, q *serviceQueue, w *overload.Waiter[turn]) *rejection {
	rej, decided := e.waitForTurn(ctx, c, w.Value.result)
	if !decided {
		e.admission.mu.Lock()
		defer e.admission.mu.Unlock()
		now := e.clock.Now()
		if q.coordinated.Remove(now, w) {
			return rej
		}
		if shed := <-w.Value.result; shed != nil {
			return shed // it was counted, and has a Retry-After
		}
		c.reservedIn = q
		q.coordinated.RecordEnd(now, 0) // dispatch counted a start, and ServeHTTP counts only the ends of admitted requests
		return rej
	}
	if rej == nil {
		c.reservedIn = q // dispatch has reserved the slot
	}
	return rej
}

// hold reserves a slot for the request; mu is held.
func (e *Entry) hold(q *serviceQueue, c *call) {
	q.reserved++
	c.reservedIn = q
}

// newWaiter returns the queue item of c, whose caller has used the given ms at earlier tries; mu is held.
func (q *serviceQueue) newWaiter(c *call, now clock.Time, used clock.Span) *overload.Waiter[turn] {
	w := &overload.Waiter[turn]{Priority: c.urgency(), Team: c.team.Name, Value: turn{call: c, result: make(chan *rejection, 1)}}
	if c.route.Kind == routing.Stream {
		w.LatestOnTime = c.start.Add(c.route.LatencyTarget - used - callerLatency - q.firstEvent.Delay())
		q.coordinated.PriorFlight = typicalStreamDuration
		patience := max(minPatience, patienceFactor*c.route.LatencyTarget)
		w.LatestUseful = c.start.Add(patience - 2*callerLatency - q.firstEvent.Delay())
	} else {
		w.LatestUseful = now.Add(overload.MaxLateWait)
		w.LatestOnTime = c.start.Add(c.route.LatencyTarget/2 - used)
		q.coordinated.PriorFlight = c.route.LatencyTarget / 2
	}
	w.LatestUseful = min(w.LatestUseful, now.Add(overload.MaxLateWait), c.deadline.Add(-q.coordinated.MeanFlight(now)))
	return w
}

// usedTime returns the ms that the caller of a request has used at earlier tries: a caller that returns has less time left than
// the others of its route. The route's timeout doesn't tell it, as callers may wait for less. mu is held.
func (a *admission) usedTime(now clock.Time, c *call) clock.Span {
	if c.Timeout <= 0 {
		return 0
	}
	longest := a.timeouts[c.route.Name]
	if longest == nil {
		maps.DeleteFunc(a.timeouts, func(_ string, m *balance.WindowedMax) bool { return m.Max(now) == 0 }) // of routes without requests
		longest = &balance.WindowedMax{Window: timeoutWindow}
		a.timeouts[c.route.Name] = longest
	}
	longest.Add(now, float64(c.Timeout))
	if most := longest.Max(now); float64(c.Timeout) < most*returningFraction {
		return clock.Span(most) - c.Timeout
	}
	return 0
}

// retryAfter returns the ms after which the caller of a rejected request may return; mu is held. A caller that can't be on time
// any more when it returns gets what requests on time leave.
func (e *Entry) retryAfter(q *serviceQueue, w *overload.Waiter[turn], now clock.Time) clock.Span {
	left := w.Value.call.deadline.Sub(now)
	spare := q.coordinated.Spare(now, w.Level(now.Add(left/3)))
	entries := e.peers.Entries()
	count := cmp.Or(len(entries.Alive), entries.Known) // an entry that starts does not know yet which are alive
	after := q.returns.RetryAfter(now, w.Priority, left, spare, count, e.admission.random())
	return max(after, leastRetryAfter(left))
}

// leastRetryAfter returns the ms before which a caller with the given ms left may not return, since it would look like a new one.
func leastRetryAfter(left clock.Span) clock.Span {
	return clock.Span(float64(left) * (1 - returningFraction))
}

// retryAfterRange returns the least and the greatest Retry-After of a caller with the given ms left.
func retryAfterRange(left clock.Span) (least, most clock.Span) {
	least, most = overload.RetryAfterRange(left)
	return max(least, leastRetryAfter(left)), most
}

// coordinatedRoom returns what the service's servers have room for and how many requests of all entries are free to start, which
// is negative if too many run; mu is held.
func (e *Entry) coordinatedRoom(q *serviceQueue, servers []*routing.Server, now clock.Time) (room Room, free float64) {
	room, _ = e.room(q, servers, now)
	alive := len(e.peers.Entries().Alive)
	q.coordinated.Limit, q.coordinated.Entries, q.coordinated.MaxStarts = room.Requests, alive, room.Rate*float64(max(alive, 1))
	free = room.Requests - float64(e.loads.TotalInFlight(servers)+q.reserved)
	if q.limiter.Saturated(now) {
		free = min(free, 0)
	}
	return room, free
}

// routePriorities is the number of priorities of routes that coordinated admission tells apart among teams of one priority.
const routePriorities = 4

// urgency returns the priority of the request for coordinated admission, 0 for the most urgent: that of the team first, and that
// of the route among teams of one priority.
func (c *call) urgency() int {
	route := min(max(c.route.Priority, 0), routePriorities-1)
	if !c.team.HasPriority {
		return route
	}
	return max(c.team.Priority, 0)*routePriorities + route
}

// settling reports whether this entry has just started and gets its parts of the servers' rates as soon as it knows the other
// entries. Until then requests wait: after a power loss the engines are cold, and most callers have used up their retries.
func (e *Entry) settling() bool {
	return len(e.peers.Entries().Alive) == 0
}

// dispatchCoordinated rejects waiting requests whose latest useful start has passed and admits others into free slots; mu is
// held.
func (e *Entry) dispatchCoordinated(q *serviceQueue, servers []*routing.Server, now clock.Time) {
	for _, w := range q.coordinated.TakeExpired(now) {
		e.countShed(q, w.Priority)
		w.Value.result <- &rejection{status: http.StatusServiceUnavailable, reason: "no place became free in time", retryAfter: e.retryAfter(q, w, now)}
	}
	e.reportShed(q, now)
	if len(servers) == 0 {
		for w, ok := q.coordinated.TakeFirst(now); ok; w, ok = q.coordinated.TakeFirst(now) {
			e.admitWaiter(q, w)
		}
		return
	}
	room, free := e.coordinatedRoom(q, servers, now)
	switch {
	case room.Closed && e.settling():
	case room.Closed:
		for _, w := range q.coordinated.TakeAll() {
			w.Value.result <- rejectionOfRoom(room)
		}
	case q.coordinated.Len() > 0 && e.loads.AllTripped(servers, false):
		if !e.loads.AllTripped(servers, true) {
			if w, ok := q.coordinated.TakeFirst(now); ok {
				e.admitWaiter(q, w)
			}
		}
	case !q.limiter.Saturated(now):
		for _, w := range q.coordinated.Dispatch(now, free) {
			e.admitWaiter(q, w)
		}
	}
}

// admitWaiter admits a request that waited; mu is held.
func (e *Entry) admitWaiter(q *serviceQueue, w *overload.Waiter[turn]) {
	q.reserved++
	w.Value.result <- nil
}

// countShed counts a request that is rejected for lack of capacity; mu is held.
func (e *Entry) countShed(q *serviceQueue, priority int) {
	q.shed.rejected[overload.LevelOf(priority)]++
	e.metrics.OverloadRejection(q.service.Name, priority)
}

// reportShed sets the metrics of the service's overload and logs it while it rejects; mu is held.
func (e *Entry) reportShed(q *serviceQueue, now clock.Time) {
	if now.Sub(q.shed.since) < shedLogInterval {
		return
	}
	shed := q.shed
	q.shed = shedCounts{since: now}
	status := q.coordinated.Status(now)
	wait := clock.Span(math.Min(status.Wait, float64(maxLoggedWait)))
	e.metrics.OverloadWait.Get(q.service.Name).Set(float64(wait))
	var rejecting, waiting []string
	for priority, count := range shed.rejected {
		if count > 0 {
			rejecting = append(rejecting, fmt.Sprintf("%d:%.2f", priority, float64(count)/float64(max(shed.arrived[priority], count))))
		}
	}
	for level, count := range status.Waiting {
		if count >= 1 {
			waiting = append(waiting, fmt.Sprintf("%d:%.0f", level, count))
		}
	}
	if len(rejecting) > 0 {
		e.limitedLogger.Log("overload", "msg", "overload", "service", q.service.Name, "waiting", strings.Join(waiting, " "), "wait", wait,
			"rejecting", strings.Join(rejecting, " "), "starts", math.Round(status.Starts), "peers", status.Peers, "age", status.Oldest)
	}
}

// recordEnd counts the end of a request that coordinated admission has admitted.
func (e *Entry) recordEnd(c *call) {
	if !c.coordinated {
		return
	}
	now := e.clock.Now()
	flight := clock.Span(0)
	if c.attempts > 0 {
		flight = max(now.Sub(c.admittedAt), 1)
	}
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	if q := e.admission.services[c.service.Name]; q != nil {
		q.coordinated.RecordEnd(now, flight)
	}
}

// ownDemand returns this entry's demand by service, for heartbeats; nil without coordinated admission. The services with the
// most arrivals go first if not all fit.
func (e *Entry) ownDemand() map[string]overload.Demand {
	if !e.coordinated() {
		return nil
	}
	now := e.clock.Now()
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	all, arrivals := make(map[string]overload.Demand), make(map[string]int)
	for name, q := range e.admission.services {
		d := q.coordinated.Demand(now)
		all[name] = d
		for _, l := range d.Levels {
			arrivals[name] += l.Arrivals
		}
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int { return cmp.Or(arrivals[b]-arrivals[a], strings.Compare(a, b)) })
	demand, size := make(map[string]overload.Demand), 0
	for _, name := range names {
		content, err := datagram.Encode(map[string]overload.Demand{name: all[name]})
		if err != nil || size+len(content) > maxDemandSize {
			continue
		}
		size += len(content)
		demand[name] = all[name]
	}
	e.admission.addTeams(now, demand, names, maxDemandSize-size)
	return demand
}

// addTeams adds the reports of teams to the demand, in at most the given bytes. The last service goes first, since it has the
// fewest teams, and each leaves what it doesn't need to those before it; mu is held.
func (a *admission) addTeams(now clock.Time, demand map[string]overload.Demand, names []string, size int) {
	left := len(demand)
	for _, name := range slices.Backward(names) {
		d, reported := demand[name]
		if !reported {
			continue
		}
		d.Teams = a.services[name].teams.Report(now, size/left)
		size -= d.Teams.Size()
		left--
		demand[name] = d
	}
}

// receiveDemand takes over the demand at a peer. A service that its report lacks is idle there.
func (e *Entry) receiveDemand(hb heartbeat) {
	config := e.state.View().Config
	if config == nil || !e.coordinated() {
		return
	}
	now := e.clock.Now()
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	for name := range hb.Demand {
		if service, known := config.Services[name]; known {
			e.admission.queueOf(service)
		}
	}
	for name, q := range e.admission.services {
		q.coordinated.SetReport(now, hb.IP, hb.Demand[name])
		if !q.teams.Merge(now, hb.IP, hb.Demand[name].Teams) {
			e.limitedLogger.Log("teams", "msg", "demand of teams cannot be read, keeping the last", "peer", hb.Name, "service", name)
		}
	}
}
