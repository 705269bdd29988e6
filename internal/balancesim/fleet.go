package balancesim

import (
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// Parameters of the simulated fleet, times in ms.
const (
	reportInterval = simTime(250)  // between load reports
	reportDelay    = simTime(1000) // until a load report or cache event reaches the entries
	eventLossRate  = 0.1           // share of cache events that get lost
	sameZoneDelay  = simTime(0.2)  // one way, within an availability zone
	crossZoneDelay = simTime(1.5)  // one way, between availability zones
	driftInterval  = simTime(5000) // between shifts of prefix popularity
	driftDivisor   = 8             // each shift moves popularity by 1/driftDivisor of the prefixes
	prefixExponent = 1.1           // of the Zipf distribution of prefixes
	slowFactor     = 2.0           // step time of the one slow backend server over that of the others
	zoneCount      = 3
)

// fleetConfig is the size and load of a simulated fleet.
type fleetConfig struct {
	servers    int
	entries    int
	subsetSize int     // maximum number of backend servers that each entry knows
	prefixes   int     // distinct prompt prefixes
	rate       float64 // requests per second
	warmup     simTime // requests that start earlier aren't counted
	arrivalEnd simTime // no request arrives later
}

// fleet simulates backend servers and the entries that pick among them.
type fleet struct {
	loop            *eventLoop
	config          fleetConfig
	random          *rand.Rand
	zipf            *rand.Zipf
	servers         []*server
	reports         []report
	entries         []*entry
	popularityShift uint64 // added to prefix numbers
	stats           *stats
	lastRequest     uint64
}

// report is the state of one backend server as the entries see it, at least reportDelay old.
type report struct {
	load           uint64 // tokens of all waiting and running requests
	takenAt        simTime
	cachedPrefixes map[uint64]bool // by prefix number
}

// entry picks backend servers from its own view of their load.
type entry struct {
	fleet           *fleet
	zone            string
	knownServers    []int // indexes into fleet.servers
	candidates      []balance.Candidate
	pick            policy
	roundRobinIndex int
}

// policy returns the index of the picked candidate of e.
type policy func(e *entry, info balance.PickInfo) int

func zoneName(i int) string {
	return fmt.Sprint("zone", i%zoneCount)
}

// newFleet returns a fleet whose random numbers depend only on the seed and the number of backend servers.
func newFleet(config fleetConfig, seed uint64, pick policy) *fleet {
	random := rand.New(rand.NewPCG(seed, uint64(config.servers)))
	f := &fleet{
		loop:    &eventLoop{},
		config:  config,
		random:  random,
		zipf:    rand.NewZipf(random, prefixExponent, 1, uint64(config.prefixes-1)),
		reports: make([]report, config.servers),
		stats:   newStats(),
	}
	agents := make([]string, config.servers)
	for i := range config.servers {
		agents[i] = fmt.Sprint("server", i)
		f.addServer(i, agents[i])
	}
	names := make([]string, config.entries)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	for i, name := range names {
		f.addEntry(i, balance.Subset(name, names, agents, config.subsetSize), pick)
	}
	return f
}

func (f *fleet) addServer(i int, name string) {
	f.reports[i].cachedPrefixes = make(map[uint64]bool)
	s := &server{loop: f.loop, name: name, zone: zoneName(i), slowdown: 1}
	if i == 0 {
		s.slowdown = slowFactor
	}
	s.onCacheChange = func(prefix uint64, cached bool) { f.reportCacheEvent(i, prefix, cached) }
	f.servers = append(f.servers, s)
}

func (f *fleet) addEntry(i int, names []string, pick policy) {
	e := &entry{fleet: f, zone: zoneName(i), pick: pick}
	for k, s := range f.servers {
		for _, name := range names {
			if name != s.name {
				continue
			}
			e.knownServers = append(e.knownServers, k)
			e.candidates = append(e.candidates, balance.Candidate{Name: s.name, Zone: s.zone})
		}
	}
	f.entries = append(f.entries, e)
}

// reportCacheEvent delivers a cache event after reportDelay, or drops it.
func (f *fleet) reportCacheEvent(i int, prefix uint64, cached bool) {
	if f.random.Float64() < eventLossRate {
		return
	}
	f.loop.after(reportDelay, func() {
		if cached {
			f.reports[i].cachedPrefixes[prefix] = true
			return
		}
		delete(f.reports[i].cachedPrefixes, prefix)
	})
}

// run simulates all arrivals, waits for their requests to complete and returns the statistics.
func (f *fleet) run() *stats {
	f.scheduleReports()
	f.schedulePopularityShift()
	f.scheduleArrival()
	f.loop.runUntil(f.config.arrivalEnd)
	for f.stats.inFlight > 0 {
		f.loop.runUntil(f.loop.now + reportDelay)
	}
	for _, s := range f.servers {
		f.stats.addServer(s)
	}
	return f.stats
}

func (f *fleet) scheduleReports() {
	for i, s := range f.servers {
		load, taken := s.loadTokens, f.loop.now
		f.loop.after(reportDelay, func() {
			f.reports[i].load = load
			f.reports[i].takenAt = taken
		})
	}
	f.loop.after(reportInterval, f.scheduleReports)
}

func (f *fleet) schedulePopularityShift() {
	f.popularityShift += uint64(f.config.prefixes / driftDivisor)
	f.loop.after(driftInterval, f.schedulePopularityShift)
}

func (f *fleet) scheduleArrival() {
	f.loop.after(simTime(f.random.ExpFloat64()/f.config.rate*float64(clock.Second)), func() {
		if f.loop.now > f.config.arrivalEnd {
			return
		}
		f.entries[f.random.IntN(len(f.entries))].dispatch(f.newRequest())
		f.scheduleArrival()
	})
}

// newRequest returns a random request.
func (f *fleet) newRequest() *request {
	return &request{
		prefix:       (f.zipf.Uint64()+f.popularityShift)%uint64(f.config.prefixes) + 1,
		prefixTokens: 1200,
		suffixTokens: 50 + f.random.IntN(200),
		outputTokens: randomOutput(f.random),
	}
}

// dispatch sends r to the backend server that the policy picks.
func (e *entry) dispatch(r *request) {
	f := e.fleet
	f.lastRequest++
	info := balance.PickInfo{Fingerprint: f.lastRequest, PrefixHash: r.prefix, Tokens: r.tokens(), Zone: e.zone}
	e.refreshCandidates(r.prefix)
	i := e.pick(e, info)
	s := f.servers[e.knownServers[i]]
	candidate := &e.candidates[i]
	candidate.Outstanding++
	candidate.OwnTokens += uint64(r.tokens())
	start := f.loop.now
	counted := start >= f.config.warmup
	f.stats.inFlight++
	delay := crossZoneDelay
	if s.zone == e.zone {
		delay = sameZoneDelay
	}
	r.onFirstToken = func(hit bool) {
		if counted {
			f.stats.record(f.loop.now+delay-start, hit)
		}
	}
	r.onDone = func() {
		f.loop.after(delay, func() {
			f.stats.inFlight--
			candidate.Outstanding--
			candidate.OwnTokens -= uint64(r.tokens())
		})
	}
	f.loop.after(delay, func() { s.submit(r) })
}

// refreshCandidates copies the delivered reports into the candidates.
func (e *entry) refreshCandidates(prefix uint64) {
	now := e.fleet.loop.now
	for k, i := range e.knownServers {
		r := &e.fleet.reports[i]
		candidate := &e.candidates[k]
		candidate.ReportedTokens = r.load
		candidate.ReportAge = clock.Span(now - r.takenAt)
		candidate.PrefixCached = r.cachedPrefixes[prefix]
	}
}
