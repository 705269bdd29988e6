package choice

import (
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// coldSlots is the number of requests that a cold backend server bears.
const coldSlots = 2

// outcome is how one attempt ended.
type outcome int

// Outcomes of an attempt.
const (
	ended   outcome = iota // ran whole
	refused                // did not run
)

// work is one attempt at an agent.
type work struct {
	id       string
	team     string
	deadline clock.Time
	task     *task
	end      func(outcome)
}

// agent admits work to its backend server by queue, ramp and meter.
type agent struct {
	loop    *loop
	server  *server
	queue   *balance.Queue[work]
	ramp    *balance.Ramp
	meter   *balance.Meter
	grants  *balance.Grants
	running uint32
}

func newAgent(l *loop, s *server, limit int) *agent {
	a := &agent{
		loop:   l,
		server: s,
		queue:  balance.NewQueue[work](limit),
		ramp:   balance.NewRamp(coldSlots, slots),
		meter:  &balance.Meter{},
		grants: balance.NewGrants(clock.Second),
	}
	a.queue.Took = a.meter.Took
	return a
}

// take queues w or refuses it.
func (a *agent) take(w work) {
	now := a.loop.now.clock()
	a.queue.SetRate(a.meter.Rate())
	err := a.queue.Push(now, balance.Job[work]{ID: w.id, Team: w.team, Deadline: w.deadline, Tokens: w.task.tokens(), Value: w})
	var r *balance.RefusedError
	if errors.As(err, &r) {
		w.end(refused)
	}
	a.refuse(a.queue.Displaced())
	a.serve()
}

func (a *agent) refuse(jobs []balance.Job[work]) {
	for _, j := range jobs {
		j.Value.end(refused)
	}
}

// serve hands work over while the window allows.
func (a *agent) serve() {
	now := a.loop.now.clock()
	a.refuse(a.queue.Expired(now))
	for a.running < a.ramp.Window(now) {
		j, ok := a.queue.Pop(now)
		if !ok {
			return
		}
		a.hand(j.Value)
	}
}

func (a *agent) hand(w work) {
	start := a.loop.now.clock()
	a.running++
	a.meter.Start(start)
	w.task.done = func() {
		now := a.loop.now.clock()
		a.running--
		a.meter.Done(now, w.task.tokens(), now.Sub(start))
		a.ramp.Done(now, w.task.tokens())
		w.end(ended)
		a.serve()
	}
	a.server.submit(w.task)
}
