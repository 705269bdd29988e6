package overload

import (
	"container/heap"
	"math/rand/v2"
	"strconv"

	"carawaypick/pkg/clock"
)

// replay replays arrivals at entries that hear each other late and send requests to servers with one limit.
type replay struct {
	entries  int
	overload float64       // arrivals per start that the servers take
	perMs    float64       // starts that the servers take
	flight   clock.Span    // mean time in flight
	mix      [3]float64    // shares of the priorities among the arrivals
	onTime   [3]clock.Span // time budgets of the priorities
	duration clock.Span
	silent   int                                     // entries that are said to be alive but never heard
	hear     clock.Span                              // between two reports of a peer, at most
	loss     float64                                 // share of the reports that are lost
	returns  float64                                 // share of the rejected requests that return once, late
	hears    func(now clock.Time, from, to int) bool // nil for always
	runs     func(now clock.Time, entry int) bool    // nil for always; an entry that stops loses its requests
	paused   func(now clock.Time, entry int) bool    // an entry that is paused keeps them; nil for never
}

// replayResult counts the requests that arrive after the first second.
type replayResult struct {
	arrived, served, onTime, rejected [Levels]int
	expired                           int           // rejected after they waited
	waited                            int           // rejected after they waited, the same of those that arrived after the first requests had ended
	possible                          float64       // starts that the servers take
	arrivedAt, rejectedAt             []int         // by entry, not late
	mixAt                             [][Levels]int // arrived, by entry
	last                              float64       // requests in flight at the end
	peak                              int           // most requests in flight at one time after the first requests had ended
}

// request is a request of a replay; its level is its priority, or LateLevel if it returned.
type request struct {
	level int
	at    clock.Time
}

// flying is a request in flight.
type flying struct {
	end, start clock.Time
	entry      int
	life       int // of the entry
}

type flights []flying

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].end < f[j].end }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(flying)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// replayEntry is an entry of a replay.
type replayEntry struct {
	queue    Queue[request]
	inFlight int
	life     int   // number of times that it has stopped
	known    []int // requests in flight at the others as last heard
	seen     int   // sum of these
}

// replaying is the state of a replay.
type replaying struct {
	replay
	result  replayResult
	random  *rand.Rand
	now     clock.Time
	slots   float64
	entry   []replayEntry
	flights flights
	running int
	again   map[clock.Time]int // number of requests that return
}

func (r replay) run(seed uint64) replayResult {
	p := &replaying{replay: r, random: rand.New(rand.NewPCG(seed, uint64(r.entries))), slots: r.perMs * float64(r.flight), again: map[clock.Time]int{}}
	p.entry = make([]replayEntry, r.entries)
	p.result.arrivedAt, p.result.rejectedAt = make([]int, r.entries), make([]int, r.entries)
	p.result.mixAt = make([][Levels]int, r.entries)
	for i := range p.entry {
		p.entry[i].known = make([]int, r.entries)
	}
	for p.now = 1; p.now <= clock.Time(r.duration); p.now++ {
		if p.counts(p.now) {
			p.result.possible += r.perMs
		}
		p.end()
		for rate := r.overload * r.perMs; rate > 0; rate-- {
			if p.random.Float64() < rate {
				draw, level := p.random.Float64(), 0
				for ; level < 2 && draw >= r.mix[level]; level++ {
					draw -= r.mix[level]
				}
				p.arrive(level, r.onTime[level])
			}
		}
		for range p.again[p.now] {
			p.arrive(LateLevel, -1)
		}
		for i := range p.entry {
			p.step(i)
		}
	}
	p.result.last = float64(p.running)
	return p.result
}

// counts reports whether requests that arrive at the time are counted.
func (p *replaying) counts(at clock.Time) bool { return at > clock.Time(clock.Second) }

// turnedOver reports whether the first requests have ended by the time.
func (p *replaying) turnedOver(at clock.Time) bool { return at > clock.Time(2*p.flight) }

func (p *replaying) up(at clock.Time, i int) bool { return p.runs == nil || p.runs(max(at, 1), i) }

func (p *replaying) frozen(i int) bool { return p.paused != nil && p.paused(p.now, i) }

func (p *replaying) free(i int) float64 {
	return p.slots - float64(p.entry[i].inFlight+p.entry[i].seen)
}

// end ends the requests that are due.
func (p *replaying) end() {
	for len(p.flights) > 0 && p.flights[0].end <= p.now {
		f := heap.Pop(&p.flights).(flying)
		if e := &p.entry[f.entry]; f.life == e.life {
			e.inFlight--
			p.running--
			e.queue.RecordEnd(p.now, p.now.Sub(f.start))
		}
	}
}

// arrive lets a request arrive at an entry that runs.
func (p *replaying) arrive(level int, budget clock.Span) {
	i := p.random.IntN(p.entries)
	for !p.up(p.now, i) || p.frozen(i) {
		i = p.random.IntN(p.entries)
	}
	w := &Waiter[request]{Priority: level, LatestOnTime: p.now.Add(budget), LatestUseful: p.now.Add(MaxLateWait), Value: request{level, p.now}}
	if p.counts(p.now) {
		p.result.arrived[level]++
		if level != LateLevel {
			p.result.arrivedAt[i]++
			p.result.mixAt[i][level]++
		}
	}
	switch p.entry[i].queue.Arrive(p.now, w, p.free(i), p.random.Float64) {
	case Start:
		p.start(i, w)
	case Reject:
		p.reject(i, w)
	}
}

func (p *replaying) start(i int, w *Waiter[request]) {
	p.entry[i].inFlight++
	p.running++
	if p.turnedOver(p.now) {
		p.result.peak = max(p.result.peak, p.running)
	}
	flight := clock.Span((0.5 + p.random.Float64()) * float64(p.flight))
	heap.Push(&p.flights, flying{p.now.Add(flight), p.now, i, p.entry[i].life})
	if p.counts(w.Value.at) {
		p.result.served[w.Value.level]++
		if p.now <= w.LatestOnTime {
			p.result.onTime[w.Value.level]++
		}
	}
}

func (p *replaying) reject(i int, w *Waiter[request]) {
	if w.Value.level != LateLevel && p.random.Float64() < p.returns {
		p.again[p.now.Add(clock.Span(1300+p.random.IntN(1300)))]++
	}
	if w.Value.at < p.now {
		p.result.expired++
	}
	if !p.counts(w.Value.at) {
		return
	}
	p.result.rejected[w.Value.level]++
	if w.Value.level != LateLevel {
		p.result.rejectedAt[i]++
	}
	if w.Value.at < p.now && p.turnedOver(w.Value.at) {
		p.result.waited++
	}
}

// step dispatches waiting requests of entry i and delivers what it hears.
func (p *replaying) step(i int) {
	e := &p.entry[i]
	if !p.up(p.now, i) {
		if p.up(p.now-1, i) { // it loses all that it knew
			p.running -= e.inFlight
			*e = replayEntry{life: e.life + 1, known: make([]int, p.entries)}
		}
		return
	}
	if p.frozen(i) {
		return
	}
	if (int(p.now)+7*i)%50 == 0 {
		q := &e.queue
		q.Limit, q.Entries, q.PriorFlight = p.slots, p.forget(i), 5*p.flight/4
		for _, w := range q.TakeExpired(p.now) {
			p.reject(i, w)
		}
		for _, w := range q.Dispatch(p.now, p.free(i)) {
			p.start(i, w)
		}
	}
	if (int(p.now)+i)%10 == 0 {
		p.report(i)
	}
}

// forget returns the number of entries that are alive as i sees it, and forgets the requests of the others.
func (p *replaying) forget(i int) (alive int) {
	const silence = 1500
	e := &p.entry[i]
	for j := range p.entry {
		if j == i || (p.up(p.now-silence, j) && (p.hears == nil || p.hears(p.now-silence, j, i) || p.hears(p.now, j, i))) {
			alive++
			continue
		}
		e.seen -= e.known[j]
		e.known[j] = 0
	}
	return alive + p.silent
}

// report sends the report of entry i to the peers whose turn it is.
func (p *replaying) report(i int) {
	turns := max(int(p.hear), 100) / 10
	var d Demand
	made, name := false, strconv.Itoa(i)
	for j := (int(p.now)/10 + i) % turns; j < p.entries; j += turns {
		made = p.send(i, j, name, &d, made)
	}
}

func (p *replaying) send(i, j int, name string, d *Demand, made bool) bool {
	// Each round has another order of the peers, as heartbeats have.
	j = (j*7 + int(p.now)/max(int(p.hear), 100)) % p.entries
	if j == i || !p.up(p.now, j) || p.frozen(j) || p.random.Float64() < p.loss || (p.hears != nil && !p.hears(p.now, i, j)) {
		return made
	}
	if !made {
		*d = p.entry[i].queue.Demand(p.now)
	}
	to := &p.entry[j]
	to.queue.SetReport(p.now, name, *d)
	to.seen += p.entry[i].inFlight - to.known[i]
	to.known[i] = p.entry[i].inFlight
	return true
}
