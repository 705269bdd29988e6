package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	maxCapacityReports  = 24                      // in one heartbeat; the next one has others
	maxCapacityBytes    = 300                     // of these in one heartbeat
	rejectionInterval   = 100 * clock.Millisecond // between two heartbeats that are sent early because of one server's rejections
	capacityLogInterval = clock.Second            // between two log lines of one server's capacity
	capacityLogChange   = 0.25                    // of a learned capacity since the last log line
	worstServers        = 10                      // servers whose learned capacity is a metric of its own
	countScale          = 64                      // parts of a sample in which reports count
	concurrencyScale    = 4                       // parts of a request in which reports tell the concurrency
	timeScale           = 10                      // parts of a ms in which reports tell times
	minSampleTime       = 0.5                     // ms, as the clock has a resolution of 1 ms
)

// capacityLearning is what a LoadTracker learns of plain services and of the sizes of requests.
type capacityLearning struct {
	keys       map[uint32]*routing.Server // by key of the incarnation
	targets    map[string]clock.Span      // latest latency target by service
	sizes      map[string]*balance.SizeCorrection
	hints      map[string]*balance.WorkEstimator
	choices    map[string]clock.Time // time of the last choice by service
	announced  map[string]clock.Time // time of the last early heartbeat by backend server id
	nextReport string                // backend server id with which the next heartbeat's reports begin
}

func newCapacityLearning() capacityLearning {
	return capacityLearning{
		keys: make(map[uint32]*routing.Server), targets: make(map[string]clock.Span), sizes: make(map[string]*balance.SizeCorrection),
		hints: make(map[string]*balance.WorkEstimator), choices: make(map[string]clock.Time), announced: make(map[string]clock.Time),
	}
}

// clone returns a copy that can be changed without an effect on l.
func (l *capacityLearning) clone() capacityLearning {
	c := *l
	c.keys, c.targets, c.choices, c.announced = maps.Clone(l.keys), maps.Clone(l.targets), maps.Clone(l.choices), maps.Clone(l.announced)
	c.sizes, c.hints = cloneValues(l.sizes), cloneValues(l.hints)
	return c
}

// cloneValues returns a copy of m with copies of what its values point to.
func cloneValues[K comparable, V any](m map[K]*V) map[K]*V {
	c := maps.Clone(m)
	for key, value := range c {
		v := *value
		c[key] = &v
	}
	return c
}

// capacityReport holds the latest samples of one entry at one backend server. The order of its fields is part of the protocol.
type capacityReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Server      uint // key of the incarnation
	Concurrency int  // mean requests at the server, in 1/concurrencyScale
	Time        int  // geometric mean of the ms to the first byte, in 1/timeScale
	Answered    int  // requests, in 1/countScale
	Failed      int  // requests that were rejected or failed, in 1/countScale
	Rejected    int  // ms since the last rejection that no answer followed, plus 1; 0 for none
}

// size returns the bytes of the report in a heartbeat.
func (r capacityReport) size() (bytes int) {
	bytes = 1
	for _, n := range []int{int(r.Server), r.Concurrency, r.Time, r.Answered, r.Failed, r.Rejected} {
		switch {
		case n < 1<<7:
			bytes++
		case n < 1<<8:
			bytes += 2
		case n < 1<<16:
			bytes += 3
		default:
			bytes += 5
		}
	}
	return bytes
}

// capacityKey returns the short name of an incarnation of a backend server in reports.
func capacityKey(s *routing.Server) uint32 {
	return uint32(xxhash.Sum64String(s.ID + "/" + strconv.FormatInt(s.StartedAt, 10)))
}

// coordinated reports whether coordinated admission is on.
func (t *LoadTracker) coordinated() bool {
	return t.Coordinated != nil && t.Coordinated()
}

// indexCapacities updates the servers that reports may be of; mu is held.
func (t *LoadTracker) indexCapacities(v *routing.View) {
	clear(t.learning.keys)
	for _, s := range v.Servers {
		if s.Group == "" {
			t.learning.keys[capacityKey(s)] = s
		}
	}
	maps.DeleteFunc(t.learning.announced, func(id string, _ clock.Time) bool { return v.Servers[id] == nil })
	t.learning.forgetServices(v)
}

// forgetServices removes what was learned of services without servers, which bounds the memory while services come and go.
func (l *capacityLearning) forgetServices(v *routing.View) {
	gone := func(service string) bool { return len(v.Services[service]) == 0 }
	maps.DeleteFunc(l.targets, func(service string, _ clock.Span) bool { return gone(service) })
	maps.DeleteFunc(l.sizes, func(service string, _ *balance.SizeCorrection) bool { return gone(service) })
	maps.DeleteFunc(l.hints, func(service string, _ *balance.WorkEstimator) bool { return gone(service) })
	maps.DeleteFunc(l.choices, func(service string, _ clock.Time) bool { return gone(service) })
}

// capacityOf returns what was learned of this incarnation of the server.
func (l *serverLoad) capacityOf(s *routing.Server) *balance.ServerCapacity {
	if l.capacityStart != s.StartedAt {
		l.capacity, l.capacityStart = balance.ServerCapacity{}, s.StartedAt
	}
	return &l.capacity
}

// learnedCapacities returns what was learned of the servers of a plain service, nil without coordinated admission or for
// engines; mu is held.
func (t *LoadTracker) learnedCapacities(servers []*routing.Server, service string, now clock.Time) []balance.LearnedCapacity {
	if !t.coordinated() || t.Bounds.Fixed || slices.ContainsFunc(servers, func(s *routing.Server) bool { return s.Group != "" }) {
		return nil
	}
	capacities, slots := make([]*balance.ServerCapacity, len(servers)), make([]int, len(servers))
	for i, s := range servers {
		capacities[i], slots[i] = t.serverLoad(s.ID).capacityOf(s), s.Slots
	}
	return balance.LearnCapacities(now, capacities, slots, t.learning.targets[service], t.Bounds)
}

// pick returns the index of the server for a request, -1 if none can get it; mu is held.
func (t *LoadTracker) pick(servers []*routing.Server, service routing.Service, endpoints []balance.Endpoint, zone string, now clock.Time) int {
	method, learned := t.rate(servers, service, endpoints, now)
	switch method {
	case byCapacity:
		if probe := t.probe(service.Name, endpoints, learned, now); probe >= 0 {
			return probe
		}
		return balance.PickByCapacity(endpoints, zone, rand.Uint64)
	case byWork:
		return balance.PickByWork(endpoints, zone, rand.Uint64)
	}
	return balance.PickEndpoint(endpoints, zone, rand.Uint64)
}

// pickMethod is how pick chooses among servers.
type pickMethod int

const (
	byInFlight pickMethod = iota
	byCapacity
	byWork
)

// rate returns how to choose among the servers, with what was learned of them for byCapacity, and sets the weights or the loads
// of the endpoints; mu is held.
func (t *LoadTracker) rate(servers []*routing.Server, service routing.Service, endpoints []balance.Endpoint, now clock.Time) (pickMethod, []balance.LearnedCapacity) {
	if !t.coordinated() {
		return byInFlight, nil
	}
	if learned := t.learnedCapacities(servers, service.Name, now); learned != nil {
		for i := range endpoints {
			endpoints[i].Weight = learned[i].Weight
		}
		return byCapacity, learned
	}
	if !slices.ContainsFunc(servers, func(s *routing.Server) bool { return s.Group != "" }) {
		return byInFlight, nil
	}
	for i, s := range servers {
		load := t.serverLoad(s.ID)
		endpoints[i].Load = load.work + float64(endpoints[i].PeerInFlight)*balance.PeerLoad
		endpoints[i].Owned = load.ownedBy(s.ID, t.entries())
	}
	return byWork, nil
}

// pickChances returns the probability that pick returns each of the servers; mu is held.
func (t *LoadTracker) pickChances(servers []*routing.Server, service routing.Service, endpoints []balance.Endpoint, zone string, now clock.Time) []float64 {
	method, learned := t.rate(servers, service, endpoints, now)
	switch method {
	case byCapacity:
		return t.withProbes(balance.CapacityChances(endpoints, zone), service.Name, endpoints, learned, now)
	case byWork:
		return balance.WorkChances(endpoints, zone)
	}
	return balance.PickChances(endpoints, zone)
}

// withProbes returns the chances if probe may choose a server before them; mu is held.
func (t *LoadTracker) withProbes(chances []float64, service string, endpoints []balance.Endpoint, learned []balance.LearnedCapacity, now clock.Time) []float64 {
	last, known := t.learning.choices[service]
	if !known {
		return chances
	}
	var probed []int
	for i := range endpoints {
		if probeable(&endpoints[i], learned[i]) {
			probed = append(probed, i)
		}
	}
	none := math.Pow(1-balance.ProbeChance(now.Sub(last), len(t.entries().Alive)), float64(len(probed)))
	for i := range chances {
		chances[i] *= none
	}
	for _, i := range probed {
		chances[i] += (1 - none) / float64(len(probed))
	}
	return chances
}

// probeable reports whether a server may be probed.
func probeable(e *balance.Endpoint, learned balance.LearnedCapacity) bool {
	return learned.Stale() && e.Closed() == "" && e.InFlight() == 0
}

// probe returns the index of a server that is to be probed by this request, -1 for none; mu is held.
func (t *LoadTracker) probe(service string, endpoints []balance.Endpoint, learned []balance.LearnedCapacity, now clock.Time) int {
	last, known := t.learning.choices[service]
	t.learning.choices[service] = now
	if !known {
		return -1
	}
	chance := balance.ProbeChance(now.Sub(last), len(t.entries().Alive))
	picked, drawn := -1, 0
	for i := range endpoints {
		if probeable(&endpoints[i], learned[i]) && rand.Float64() < chance {
			if drawn++; rand.IntN(drawn) == 0 { // each of the drawn ones with the same chance
				picked = i
			}
		}
	}
	return picked
}

// ownedBy reports whether this entry owns the server among the entries.
func (l *serverLoad) ownedBy(id string, entries *balance.EntrySet) bool {
	if l.ownedIn != entries {
		l.owned, l.ownedIn = balance.Owns(id, entries), entries
	}
	return l.owned
}

// sentRequest is a request whose time tells how well its server takes its load.
type sentRequest struct {
	target  clock.Span // latency target of its route
	at      clock.Time // at which it was sent
	before  int        // requests at the server then, with this one
	running int        // requests that the server reports in its answer, negative if unknown
	size    int        // bytes
	failed  bool       // it was rejected or failed
}

// InFlightAt returns the requests in flight at a server from all entries.
func (t *LoadTracker) InFlightAt(s *routing.Server) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverLoad(s.ID).inFlight + t.peerTotals[s.ID]
}

// RecordSample records how s served a request. Its concurrency is the mean of that at the send and that at the answer, as the
// time depends on both.
func (t *LoadTracker) RecordSample(s *routing.Server, r sentRequest) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.serverLoad(s.ID)
	capacity := load.capacityOf(s)
	if r.failed {
		capacity.Observe(now, balance.CapacitySample{Failed: 1}, s.Slots)
		return
	}
	if r.running < 0 {
		r.running = load.inFlight + t.peerTotals[s.ID]
	}
	t.learning.targets[s.Service] = r.target
	correction := t.learning.sizes[s.Service]
	if correction == nil {
		correction = &balance.SizeCorrection{}
		t.learning.sizes[s.Service] = correction
	}
	ms := correction.Correct(max(float64(now.Sub(r.at)), minSampleTime), r.size, capacity.Usual())
	capacity.Observe(now, balance.CapacitySample{Concurrency: max(float64(r.before+r.running)/2, 1), Time: ms, Answered: 1}, s.Slots)
}

// CapacityReports returns the latest samples of this entry for a heartbeat: those of servers that reject requests first, and
// the others in turn.
func (t *LoadTracker) CapacityReports() (reports []capacityReport) {
	if !t.coordinated() {
		return nil
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := 0
	add := func(r capacityReport) bool {
		if len(reports) == maxCapacityReports || bytes+r.size() > maxCapacityBytes {
			return false
		}
		reports, bytes = append(reports, r), bytes+r.size()
		return true
	}
	var others []*routing.Server
	for _, s := range t.learning.keys {
		if t.servers[s.ID] == nil {
			continue
		}
		if r, ok := t.capacityReport(s, now); ok && r.Rejected > 0 {
			add(r)
		} else if ok {
			others = append(others, s)
		}
	}
	slices.SortFunc(others, func(a, b *routing.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	first := slices.IndexFunc(others, func(s *routing.Server) bool { return s.ID >= t.learning.nextReport })
	for i := range others {
		s := others[(max(first, 0)+i)%len(others)]
		r, _ := t.capacityReport(s, now)
		if !add(r) {
			t.learning.nextReport = s.ID
			break
		}
	}
	return reports
}

// capacityReport returns the report of one server; ok is false if there is nothing to report. mu is held.
func (t *LoadTracker) capacityReport(s *routing.Server, now clock.Time) (r capacityReport, ok bool) {
	load := t.serverLoad(s.ID)
	r = capacityReport{Server: uint(capacityKey(s))}
	sample, sampled := load.capacityOf(s).Own(now)
	if sampled {
		r.Concurrency, r.Time = int(math.Round(sample.Concurrency*concurrencyScale)), int(math.Round(sample.Time*timeScale))
		r.Answered, r.Failed = int(math.Round(sample.Answered*countScale)), int(math.Round(sample.Failed*countScale))
	}
	if at, rejects := load.turnAwayOf(s).Rejected(); rejects && now.Sub(at) <= recoveredMemory {
		r.Rejected = int(now.Sub(at)) + 1
	}
	return r, sampled || r.Rejected > 0
}

// MergeCapacityReports adds the latest samples of a peer.
func (t *LoadTracker) MergeCapacityReports(peer string, reports []capacityReport) {
	if !t.coordinated() {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxCapacityReports)] {
		s := t.learning.keys[uint32(r.Server)]
		if s == nil {
			continue
		}
		load := t.serverLoad(s.ID)
		load.capacityOf(s).Hear(now, peer, balance.CapacitySample{
			Concurrency: float64(r.Concurrency) / concurrencyScale, Time: float64(r.Time) / timeScale,
			Answered: float64(r.Answered) / countScale, Failed: float64(r.Failed) / countScale,
		}, s.Slots)
		if r.Rejected > 0 && r.Rejected <= int(recoveredMemory)+1 {
			busy := load.inFlight > 0 || t.peerTotals[s.ID] > 0
			load.turnAwayOf(s).HearRejection(now, now.Add(1-clock.Span(r.Rejected)), t.entries().Known, busy)
		}
	}
}

// RejectionIsNews reports whether the other entries are to be told at once that s rejected a request.
func (t *LoadTracker) RejectionIsNews(s *routing.Server) bool {
	if !t.coordinated() {
		return false
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, known := t.learning.announced[s.ID]; known && now.Sub(last) < rejectionInterval {
		return false
	}
	t.learning.announced[s.ID] = now
	return true
}

// placement is the work of one attempt at an engine.
type placement struct {
	server  string // id
	service string
	size    balance.RequestSize
	work    balance.Work
	events  int
}

// AddWork counts the work of a request that is sent to s, nil without coordinated admission or if s is not an engine.
func (t *LoadTracker) AddWork(s *routing.Server, service string, size balance.RequestSize) *placement {
	if s.Group == "" || !t.coordinated() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &placement{server: s.ID, service: service, size: size, work: t.workEstimator(service).Estimate(size)}
	t.serverLoad(s.ID).work += p.work.Load()
	return p
}

// workEstimator returns the estimator of the service; mu is held.
func (t *LoadTracker) workEstimator(service string) *balance.WorkEstimator {
	e := t.learning.hints[service]
	if e == nil {
		e = &balance.WorkEstimator{}
		t.learning.hints[service] = e
	}
	return e
}

// RecordWorkEvent records an event of the attempt; p may be nil.
func (t *LoadTracker) RecordWorkEvent(p *placement) {
	if p == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := p.work
	if p.events++; p.events == 1 {
		next = next.FirstEvent()
	}
	t.setWork(p, next.Event(t.workEstimator(p.service).PerEvent()))
}

// setWork changes the work that is left of the attempt; mu is held.
func (t *LoadTracker) setWork(p *placement, next balance.Work) {
	load := t.serverLoad(p.server)
	load.work = max(load.work+next.Load()-p.work.Load(), 0)
	p.work = next
}

// EndWork removes the work of an attempt, and learns from a complete one how long its answer was; p may be nil.
func (t *LoadTracker) EndWork(p *placement, complete bool) {
	if p == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.serverLoad(p.server)
	load.work = max(load.work-p.work.Load(), 0)
	if complete {
		t.workEstimator(p.service).Observe(p.size, p.events)
	}
}

// requestSize returns what the caller told of the request's size.
func (c *call) requestSize() balance.RequestSize {
	return balance.RequestSize{PromptTokens: c.PromptTokens, ExpectedOutputTokens: c.ExpectedOutputTokens, MaxOutputTokens: c.MaxOutputTokens}
}

// recordCapacity records how a server of a plain service served an attempt, and logs loads that can't be right. A server that
// asks for a pause or is not the intended one tells nothing about its capacity.
func (e *Entry) recordCapacity(c *call, s *routing.Server, x *exchange, sentAt clock.Time, before int) {
	if !e.loads.coordinated() || x.reason == "left" || x.reason == "dial" || x.reason == reasonLocal {
		return
	}
	h, running := x.headers, -1
	if x.response != nil {
		if h.Misdirected {
			return
		}
		running = e.reportedLoad(c, s, h)
	}
	if s.Group != "" || h.RetryAfter > 0 || (h.RateLimit > 0 && x.outcome == outcomeNotExecuted) {
		return
	}
	failed := x.outcome != outcomeAnswered || x.response.StatusCode >= http.StatusInternalServerError
	e.loads.RecordSample(s, sentRequest{target: c.route.LatencyTarget, at: sentAt, before: before, running: running, size: c.body.size(), failed: failed})
}

// reportedLoad returns the requests at s by its answer, -1 if it does not tell them or tells those of another server.
func (e *Entry) reportedLoad(c *call, s *routing.Server, h ResponseHeaders) int {
	if h.BadLoad != "" {
		e.limitedLogger.Log("load", "msg", "load of a backend server can't be used, ignoring it", "server", s.ID, "id", c.ID, "header", h.BadLoad)
		return -1
	}
	if h.Running < 0 {
		return -1
	}
	if h.ServerID != "" && h.ServerID != s.ID {
		e.limitedLogger.Log("load", "msg", "load is of another backend server, ignoring it", "server", s.ID, "id", c.ID, "sender", h.ServerID)
		return -1
	}
	return h.Running + h.Waiting
}

// receiveCapacityReports merges a peer's latest samples of backend servers.
func (e *Entry) receiveCapacityReports(hb heartbeat) {
	e.loads.MergeCapacityReports(hb.IP, hb.Capacity)
}

// serviceCapacity is the learned capacity of one server.
type serviceCapacity struct {
	server *routing.Server
	balance.LearnedCapacity
}

// Capacities returns the learned capacities of the servers of plain services, and those that changed since they were last
// returned as changed by a quarter or more, each at most once per capacityLogInterval.
func (t *LoadTracker) Capacities(services map[string][]*routing.Server) (all, changed []serviceCapacity) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, servers := range services {
		for i, learned := range t.learnedCapacities(servers, name, now) {
			c := serviceCapacity{server: servers[i], LearnedCapacity: learned}
			all = append(all, c)
			load := t.serverLoad(c.server.ID)
			if load.logged == 0 {
				load.logged = float64(c.server.Slots)
			}
			if math.Abs(c.Requests/max(load.logged, 1)-1) >= capacityLogChange && now.Sub(load.loggedAt) >= capacityLogInterval {
				load.logged, load.loggedAt = c.Requests, now
				changed = append(changed, c)
			}
		}
	}
	return all, changed
}

// observeCapacities logs the learned capacities that changed, and updates the metrics of all.
func (e *Entry) observeCapacities() {
	if !e.loads.coordinated() {
		return
	}
	all, changed := e.loads.Capacities(e.state.View().Services)
	for _, c := range changed {
		e.limitedLogger.Log("capacity", "msg", "learned capacity of a backend server changed", "server", c.server.ID, "service", c.server.Service,
			"requests", c.Requests, "slots", c.server.Slots, "weight", c.Weight, "age", c.Age)
	}
	learned, slots := make([]balance.LearnedCapacity, len(all)), make([]int, len(all))
	for i, c := range all {
		learned[i], slots[i] = c.LearnedCapacity, c.server.Slots
	}
	named := make(map[string]float64)
	for _, i := range balance.WorstServers(learned, slots, worstServers) {
		named[all[i].server.ID] = all[i].Requests
	}
	e.metrics.WorstCapacities.Replace(named)
	for _, c := range all {
		if _, worst := named[c.server.ID]; !worst {
			e.metrics.Capacity.Get(c.server.Service).Update(c.Requests)
		}
	}
}
