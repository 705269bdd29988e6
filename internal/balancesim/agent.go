package balancesim

import (
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// coldSlots is the number of concurrent requests that a cold backend server can run.
const coldSlots = 2

// outcome is the result of one attempt.
type outcome int

const (
	outcomeCompleted outcome = iota
	outcomeRejected          // not executed
)

// job is one attempt of an entry at an agent.
type job struct {
	id       string
	team     string
	deadline clock.Time
	request  *request
	onEnd    func(outcome)
}

// agent queues jobs and limits how many its backend server runs at once.
type agent struct {
	loop      *eventLoop
	server    *server
	queue     *balance.FairQueue[job]
	slowStart *balance.SlowStart
	meter     *balance.ServiceMeter
	grants    *balance.Grants
	running   uint32
}

func newAgent(l *eventLoop, s *server, limit int) *agent {
	a := &agent{
		loop:      l,
		server:    s,
		queue:     balance.NewFairQueue[job](limit),
		slowStart: balance.NewSlowStart(coldSlots, batchSlots),
		meter:     &balance.ServiceMeter{},
		grants:    balance.NewGrants(clock.Second),
	}
	a.queue.ServiceTime = a.meter.ServiceTime
	return a
}

// submit queues j or rejects it.
func (a *agent) submit(j job) {
	now := a.loop.now.clock()
	a.queue.SetTokenRate(a.meter.TokenRate())
	err := a.queue.Push(now, balance.Job[job]{ID: j.id, Team: j.team, Deadline: j.deadline, Tokens: j.request.tokens(), Value: j})
	var rejected *balance.RejectedError
	if errors.As(err, &rejected) {
		j.onEnd(outcomeRejected)
	}
	a.reject(a.queue.TakeEvicted())
	a.dispatch()
}

func (a *agent) reject(jobs []balance.Job[job]) {
	for _, j := range jobs {
		j.Value.onEnd(outcomeRejected)
	}
}

// dispatch rejects expired jobs and starts queued ones while the slow-start window allows.
func (a *agent) dispatch() {
	now := a.loop.now.clock()
	a.reject(a.queue.TakeExpired(now))
	for a.running < a.slowStart.Window(now) {
		j, ok := a.queue.Pop(now)
		if !ok {
			return
		}
		a.start(j.Value)
	}
}

func (a *agent) start(j job) {
	start := a.loop.now.clock()
	a.running++
	a.meter.Start(start)
	j.request.onDone = func() {
		now := a.loop.now.clock()
		a.running--
		a.meter.Done(now, j.request.tokens(), now.Sub(start))
		a.slowStart.Done(now, j.request.tokens())
		j.onEnd(outcomeCompleted)
		a.dispatch()
	}
	a.server.submit(j.request)
}
