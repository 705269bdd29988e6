package choice

import (
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// Times in ms and shares of the fleet that a measurement runs on.
const (
	reportEvery = moment(250)  // between two load reports
	reportLag   = moment(1000) // until entries have a report or a cache event
	eventLost   = 0.1          // share of cache events that never arrive
	nearDelay   = moment(0.2)  // one way within an availability zone
	farDelay    = moment(1.5)  // one way between two
	driftEvery  = moment(5000) // between two changes of the popular prefixes
	driftParts  = 8            // part of the prefixes by which popularity moves
	prefixSkew  = 1.1          // exponent of the prefixes' popularity
	slowFactor  = 2.0          // of the one slow backend server
	zoneCount   = 3
)

// size is the extent of one measurement.
type size struct {
	servers  int
	entries  int
	subset   int     // backend servers that one entry knows
	prefixes int     // in use at a time
	rate     float64 // requests a second
	warm     moment  // before requests are counted
	end      moment  // of arrivals
}

// fleet is backend servers and the entries that choose among them.
type fleet struct {
	loop    *loop
	size    size
	random  *rand.Rand
	zipf    *rand.Zipf
	servers []*server
	reports []report
	entries []*entry
	shift   uint64
	figures *figures
	serial  uint64
}

// report is what entries know of a backend server, late.
type report struct {
	load  uint64
	taken moment
	holds map[uint64]bool
}

// entry is one chooser with its own view.
type entry struct {
	fleet      *fleet
	zone       string
	known      []int // indexes of servers
	candidates []balance.Candidate
	choose     policy
	turn       int
}

// policy picks the index of a candidate of e.
type policy func(e *entry, call balance.Call) int

func zoneName(i int) string {
	return fmt.Sprint("zone", i%zoneCount)
}

// newFleet builds a fleet whose draws follow seed.
func newFleet(s size, seed uint64, choose policy) *fleet {
	random := rand.New(rand.NewPCG(seed, uint64(s.servers)))
	f := &fleet{
		loop:    &loop{},
		size:    s,
		random:  random,
		zipf:    rand.NewZipf(random, prefixSkew, 1, uint64(s.prefixes-1)),
		reports: make([]report, s.servers),
		figures: newFigures(),
	}
	agents := make([]string, s.servers)
	for i := range s.servers {
		agents[i] = fmt.Sprint("server", i)
		f.addServer(i, agents[i])
	}
	names := make([]string, s.entries)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	for i, name := range names {
		f.addEntry(i, balance.Subset(name, names, agents, s.subset), choose)
	}
	return f
}

func (f *fleet) addServer(i int, name string) {
	f.reports[i].holds = make(map[uint64]bool)
	s := &server{loop: f.loop, name: name, zone: zoneName(i), slow: 1}
	if i == 0 {
		s.slow = slowFactor
	}
	s.changed = func(prefix uint64, held bool) { f.tellCache(i, prefix, held) }
	f.servers = append(f.servers, s)
}

func (f *fleet) addEntry(i int, names []string, choose policy) {
	e := &entry{fleet: f, zone: zoneName(i), choose: choose}
	for k, s := range f.servers {
		for _, name := range names {
			if name != s.name {
				continue
			}
			e.known = append(e.known, k)
			e.candidates = append(e.candidates, balance.Candidate{Name: s.name, Zone: s.zone})
		}
	}
	f.entries = append(f.entries, e)
}

// tellCache passes on a cache event late, or loses it.
func (f *fleet) tellCache(i int, prefix uint64, held bool) {
	if f.random.Float64() < eventLost {
		return
	}
	f.loop.after(reportLag, func() {
		if held {
			f.reports[i].holds[prefix] = true
			return
		}
		delete(f.reports[i].holds, prefix)
	})
}

// run plays all arrivals and waits for the requests to end.
func (f *fleet) run() *figures {
	f.report()
	f.drift()
	f.arrive()
	f.loop.until(f.size.end)
	for f.figures.open > 0 {
		f.loop.until(f.loop.now + reportLag)
	}
	for _, s := range f.servers {
		f.figures.server(s)
	}
	return f.figures
}

func (f *fleet) report() {
	for i, s := range f.servers {
		load, taken := s.load, f.loop.now
		f.loop.after(reportLag, func() {
			f.reports[i].load = load
			f.reports[i].taken = taken
		})
	}
	f.loop.after(reportEvery, f.report)
}

func (f *fleet) drift() {
	f.shift += uint64(f.size.prefixes / driftParts)
	f.loop.after(driftEvery, f.drift)
}

func (f *fleet) arrive() {
	f.loop.after(moment(f.random.ExpFloat64()/f.size.rate*float64(clock.Second)), func() {
		if f.loop.now > f.size.end {
			return
		}
		f.entries[f.random.IntN(len(f.entries))].serve(f.draw())
		f.arrive()
	})
}

// draw makes the next request.
func (f *fleet) draw() *task {
	return &task{
		prefix:       (f.zipf.Uint64()+f.shift)%uint64(f.size.prefixes) + 1,
		prefixTokens: 1200,
		suffixTokens: 50 + f.random.IntN(200),
		output:       drawOutput(f.random),
	}
}

// serve sends t to the backend server that the policy picks.
func (e *entry) serve(t *task) {
	f := e.fleet
	f.serial++
	call := balance.Call{Fingerprint: f.serial, Prefix: t.prefix, Tokens: t.tokens(), Zone: e.zone}
	e.look(t.prefix)
	i := e.choose(e, call)
	s := f.servers[e.known[i]]
	d := &e.candidates[i]
	d.Outstanding++
	d.Tokens += uint64(t.tokens())
	start := f.loop.now
	counted := start >= f.size.warm
	f.figures.open++
	delay := farDelay
	if s.zone == e.zone {
		delay = nearDelay
	}
	t.first = func(hit bool) {
		if counted {
			f.figures.first(f.loop.now+delay-start, hit)
		}
	}
	t.done = func() {
		f.loop.after(delay, func() {
			f.figures.open--
			d.Outstanding--
			d.Tokens -= uint64(t.tokens())
		})
	}
	f.loop.after(delay, func() { s.submit(t) })
}

// look takes the reports that have arrived into the view.
func (e *entry) look(prefix uint64) {
	now := e.fleet.loop.now
	for k, i := range e.known {
		r := &e.fleet.reports[i]
		d := &e.candidates[k]
		d.Load = r.load
		d.Age = clock.Span(now - r.taken)
		d.Cached = r.holds[prefix]
	}
}
