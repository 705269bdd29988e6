package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	callerLag   = 15 * clock.Millisecond   // from the caller's start, with a new connection between zones, to the arrival here
	usualWhole  = 2500 * clock.Millisecond // of a stream, from its start to its end
	longestHold = 1200 * clock.Millisecond // that a request waits for its turn: it is better told to come again
	returnAfter = 500 * clock.Millisecond  // Retry-After of a request that waited in vain
	leastEvents = 8                        // pauses between events that an observation rests on
	pressedTime = 60 * clock.Millisecond   // before a waiting request is late, in which it is started if at all possible
	turnPeriod  = 50 * clock.Millisecond   // between two looks at what waits
	turnsEach   = 2                        // looks between two observations
)

// turns lets requests wait for their turn at a service.
type turns struct {
	mu       sync.Mutex
	services map[string]*queue
}

// queue is the waiting work of one service.
type queue struct {
	line     balance.Line[chan *refusal]
	crowd    balance.Crowd
	reserved int // granted, but not yet sent
	lead     balance.Lead
	gaps     float64 // sum in ms of the pauses between events since the last observation
	events   int
}

func newTurns() *turns {
	return &turns{services: make(map[string]*queue)}
}

// of returns the waiting work of the service; mu is held.
func (t *turns) of(s routing.Service) *queue {
	q := t.services[s.Name]
	if q == nil {
		q = &queue{}
		t.services[s.Name] = q
	}
	stride := float64(max(s.Engine.Stride, 1))
	q.crowd.Base, q.crowd.Prior = s.Engine.Step*stride, s.Engine.PerRequest*stride
	return q
}

// event notes the pause in ms between two events of a stream.
func (t *turns) event(now clock.Time, service string, pause clock.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.services[service]; q != nil {
		q.crowd.Note(now, pause)
		q.gaps += float64(pause)
		q.events++
	}
}

// first notes the time in ms from a request's turn to the first event of its stream.
func (t *turns) first(service string, lead clock.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.services[service]; q != nil {
		q.lead.Add(lead)
	}
}

// room returns how many more requests of the service may be started now; mu is held.
func (e *Entry) room(name string, q *queue, servers []*routing.Server, now clock.Time) float64 {
	if q.crowd.Hot(now) {
		return 0
	}
	limit, cost, pressed := 0.0, e.cost(name, q, now), q.line.Pressed(now, pressedTime)
	for _, s := range servers {
		limit += q.crowd.Limit(cost, s.Slots, pressed)
	}
	return limit - float64(e.board.Running(servers)+q.reserved)
}

// cost returns what a request costs of a pass by the mean of what the entries have seen, so that their limits agree.
func (e *Entry) cost(name string, q *queue, now clock.Time) float64 {
	sum, count := 0.0, 0.0
	for _, cost := range append(e.peers.Costs(name), q.crowd.Cost(now)) {
		if cost > 0 {
			sum += cost
			count++
		}
	}
	return sum / max(count, 1)
}

// costs returns what this entry has seen a request cost of a pass, by service.
func (e *Entry) costs() map[string]float64 {
	now := e.clock.Now()
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	costs := make(map[string]float64)
	for name, q := range e.turns.services {
		if cost := q.crowd.Cost(now); cost > 0 {
			costs[name] = cost
		}
	}
	return costs
}

// turn waits until the request may be sent, or says why it may not.
func (e *Entry) turn(ctx context.Context, c *call) *refusal {
	servers := e.board.Serving(e.belief.View().Services[c.service.Name])
	now := e.clock.Now()
	e.turns.mu.Lock()
	q := e.turns.of(c.service)
	q.crowd.Gap = c.route.Gap
	q.line.Arrive(now)
	if len(servers) == 0 || (q.line.Len() == 0 && e.room(c.service.Name, q, servers, now) >= 1 && !e.board.Closed(servers, true)) {
		e.grant(q, c, now)
		e.turns.mu.Unlock()
		return nil
	}
	waiter := waiterOf(c, now, q.lead.Span())
	if e.board.Closed(servers, false) {
		waiter.Latest = max(waiter.Latest, c.deadline.Add(-usualWhole)) // the group may open at any moment
	}
	verdict := q.line.Push(now, waiter, rand.Float64())
	e.turns.mu.Unlock()
	if verdict.Refused {
		return &refusal{http.StatusServiceUnavailable, "the wait would be too long", verdict.After}
	}
	select {
	case no := <-waiter.Value:
		if no == nil {
			c.queue = q // reserved by dispatch
		}
		return no
	case <-ctx.Done():
	}
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	if !q.line.Remove(waiter) {
		if no := <-waiter.Value; no == nil {
			c.queue = q
		}
	}
	return &refusal{http.StatusServiceUnavailable, "the time is over", 0}
}

// waiterOf returns the request as one that waits; lead is the time in ms from its turn to the first event of a stream.
func waiterOf(c *call, now clock.Time, lead clock.Span) *balance.Waiter[chan *refusal] {
	w := &balance.Waiter[chan *refusal]{Priority: c.rank(), Value: make(chan *refusal, 1)}
	if c.route.Kind == routing.Stream {
		w.OnTime = c.start.Add(c.route.Aim - callerLag - lead)
		w.Latest = min(now.Add(longestHold), c.deadline.Add(-usualWhole))
		return w
	}
	w.OnTime = c.start.Add(c.route.Aim / 2)
	w.Latest = now.Add(min(longestHold, c.deadline.Sub(now)/2))
	return w
}

// grant reserves a place for the request; mu is held.
func (e *Entry) grant(q *queue, c *call, now clock.Time) {
	q.line.Start(now)
	q.reserved++
	c.queue = q
}

// settle gives up the reservation of the request, if it has one: it was sent, or never will be.
func (e *Entry) settle(c *call) {
	if c.queue == nil {
		return
	}
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	c.queue.reserved--
	c.queue = nil
}

// dispatch grants places to waiting requests and turns away those that can't be served in time.
func (e *Entry) dispatch() {
	now := e.clock.Now()
	view := e.belief.View()
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	for name, q := range e.turns.services {
		for _, w := range q.line.Expired(now) {
			w.Value <- &refusal{http.StatusServiceUnavailable, "no place became free in time", returnAfter}
		}
		servers := e.board.Serving(view.Services[name])
		for q.line.Len() > 0 && e.room(name, q, servers, now) >= 1 && !e.board.Closed(servers, true) {
			w, _ := q.line.Pop(now)
			q.line.Start(now)
			q.reserved++
			w.Value <- nil
		}
	}
}

// observe hands the pauses between events to the crowds.
func (e *Entry) observe() {
	now := e.clock.Now()
	view := e.belief.View()
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	for name, q := range e.turns.services {
		servers := e.board.Serving(view.Services[name])
		if q.events < leastEvents || len(servers) == 0 {
			continue
		}
		running := float64(e.board.Running(servers)) / float64(len(servers))
		gap := q.gaps / float64(q.events)
		q.crowd.Observe(now, gap, running)
		cost := e.cost(name, q, now)
		limit := q.crowd.Limit(cost, servers[0].Slots, false)
		e.journal.Log("crowd", "msg", "load", "service", name, "gap", gap, "running", running, "cost", cost, "limit", limit, "waiting", q.line.Len(), "events", q.events)
		q.gaps, q.events = 0, 0
	}
}

// rank returns the priority of the request, 0 for the most urgent.
func (c *call) rank() int {
	if c.team.Ranked {
		return c.team.Priority
	}
	return c.route.Priority
}
