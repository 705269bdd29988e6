package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// serverModel is how one server of a replay behaves at a time.
type serverModel struct {
	speed float64 // 1 for a request of typical size in baseMs
	knee  float64 // requests from which on they slow each other down so much that fewer are done; 0 for none
	fails float64 // share of the requests that it answers with an error at once
}

const (
	baseMs        = 40.0
	capacitySlots = 6
	targetMs      = 200 * clock.Millisecond
	replayTime    = clock.Time(12_000)
	changeAt      = clock.Time(5000) // of the scenarios that change
	changeBack    = clock.Time(9000)
	measuredFrom  = clock.Time(2000)
	failMs        = 2.0
	shareWindow   = 200 * clock.Millisecond
	maxFindTime   = 2 * clock.Second // within which a server that recovered is found, from the requirements
)

// capacityScenario is a load on servers that change.
type capacityScenario struct {
	entries   int
	perSecond float64
	model     func(server int, now clock.Time) serverModel
}

// capacityPolicy is a way to choose servers and to limit their requests.
type capacityPolicy struct {
	name  string
	pick  func(endpoints []Endpoint, random func() uint64) int
	learn bool
}

// capacityCall is one request of a replay.
type capacityCall struct {
	arrived, sent clock.Time
	server        int
	concurrency   int     // at the server when it was sent
	left          float64 // ms at speed 1
	tried         int     // bits of the servers
	failing       bool
}

// capacityEntry is one entry of a replay.
type capacityEntry struct {
	waiting    []*capacityCall
	inFlight   []int
	seen       [][]int // counts of peers
	hear       []clock.Time
	capacities []*ServerCapacity
	health     []Health
	choice     clock.Time
}

// capacityResult is what a replay measured.
type capacityResult struct {
	offered, good int
	times         []float64 // ms of the answered requests
	starts        [][]int   // by server and window
	room          []float64 // mean learned capacity of a server at each ms
	least         float64   // least learned capacity of any server
}

func (r *capacityResult) quantile(q float64) float64 {
	slices.Sort(r.times)
	return r.times[int(q*float64(len(r.times)-1))]
}

// meanRoom returns the mean learned capacity of a server in a time.
func (r *capacityResult) meanRoom(from, to clock.Time) (sum float64) {
	for _, room := range r.room[from:to] {
		sum += room / float64(to.Sub(from))
	}
	return sum
}

// share returns a server's share of the starts in a time.
func (r *capacityResult) share(server int, from, to clock.Time) float64 {
	own, all := 0, 0
	for w := int(from) / int(shareWindow); w < int(to)/int(shareWindow); w++ {
		own += r.starts[server][w]
		for _, starts := range r.starts {
			all += starts[w]
		}
	}
	return float64(own) / float64(max(all, 1))
}

// findTime returns the ms from a moment until a server's share of the starts is above (or below) a bound in two windows in
// succession, and the rest of the replay if it never is.
func (r *capacityResult) findTime(server int, from clock.Time, bound float64, above bool) clock.Span {
	in := func(w int) bool {
		all := 0
		for _, starts := range r.starts {
			all += starts[w]
		}
		share := float64(r.starts[server][w]) / float64(max(all, 1))
		return share > bound == above
	}
	first := int(from / clock.Time(shareWindow))
	for w := first; w+1 < len(r.starts[server]); w++ {
		if in(w) && in(w+1) {
			return clock.Span(w+1-first) * shareWindow
		}
	}
	return replayTime.Sub(from)
}

// capacityReplay sends the requests of many entries to three servers.
type capacityReplay struct {
	scenario capacityScenario
	policy   capacityPolicy
	random   *rand.Rand // of the requests, which are the same for each policy
	choices  *rand.Rand
	entries  []*capacityEntry
	running  [][]*capacityCall // by server
	result   capacityResult
	slots    []int
}

const (
	replayServers = 3
	fairShare     = 1.0 / replayServers
)

func newCapacityReplay(s capacityScenario, p capacityPolicy) *capacityReplay {
	r := &capacityReplay{scenario: s, policy: p, random: rand.New(rand.NewPCG(7, 1)), choices: rand.New(rand.NewPCG(7, 2)), running: make([][]*capacityCall, replayServers), slots: make([]int, replayServers)}
	for i := range r.slots {
		r.slots[i] = capacitySlots
		r.result.starts = append(r.result.starts, make([]int, int(replayTime)/int(shareWindow)+1))
	}
	r.result.least = capacitySlots
	for range s.entries {
		e := &capacityEntry{inFlight: make([]int, replayServers), health: make([]Health, replayServers), seen: make([][]int, s.entries), hear: make([]clock.Time, s.entries)}
		for range replayServers {
			e.capacities = append(e.capacities, &ServerCapacity{})
		}
		for k := range e.seen {
			e.seen[k], e.hear[k] = make([]int, replayServers), clock.Time(r.choices.IntN(600))
		}
		r.entries = append(r.entries, e)
	}
	return r
}

// hear lets an entry receive the heartbeats of the others that are due.
func (r *capacityReplay) hear(i int, now clock.Time) {
	e := r.entries[i]
	for k, peer := range r.entries {
		if k == i || now < e.hear[k] {
			continue
		}
		e.hear[k] = now.Add(clock.Span(100 + r.choices.IntN(500)))
		copy(e.seen[k], peer.inFlight)
		for s := range replayServers {
			if sample, ok := peer.capacities[s].Own(now); ok && r.policy.learn {
				e.capacities[s].Hear(now, fmt.Sprint(k), sample, capacitySlots)
			}
		}
	}
}

// endpoints returns the servers as an entry knows them, what it has learned, and the room that it sees.
func (r *capacityReplay) endpoints(e *capacityEntry, c *capacityCall, now clock.Time) (endpoints []Endpoint, learned []LearnedCapacity, room float64) {
	endpoints = make([]Endpoint, replayServers)
	learned = LearnCapacities(now, e.capacities, r.slots, targetMs, CapacityBounds{Fixed: !r.policy.learn})
	for s := range endpoints {
		p := &endpoints[s]
		p.Slots, p.OwnInFlight, p.Weight, p.Ejected = capacitySlots, e.inFlight[s], learned[s].Weight, e.health[s].Ejected(now)
		p.Tried = c.tried&(1<<s) != 0
		for _, seen := range e.seen {
			p.PeerInFlight += seen[s]
		}
		size := learned[s].Requests
		if p.Ejected {
			size = min(size, float64(p.InFlight()))
		}
		room += size - float64(p.InFlight())
		r.result.least = min(r.result.least, learned[s].Requests)
	}
	return endpoints, learned, room
}

// send sends a waiting request if there is room, and reports whether it did.
func (r *capacityReplay) send(e *capacityEntry, c *capacityCall, now clock.Time) bool {
	endpoints, learned, room := r.endpoints(e, c, now)
	if room < 1 {
		return false
	}
	s := -1
	if r.policy.learn {
		chance := ProbeChance(now.Sub(e.choice), len(r.entries))
		for i := range endpoints {
			if learned[i].Stale() && endpoints[i].Closed() == "" && endpoints[i].InFlight() == 0 && r.choices.Float64() < chance {
				s = i
			}
		}
		e.choice = now
	}
	if s < 0 {
		s = r.policy.pick(endpoints, r.choices.Uint64)
	}
	if s < 0 {
		return false
	}
	e.inFlight[s]++
	r.result.starts[s][int(now)/int(shareWindow)]++
	c.server, c.sent, c.tried, c.failing = s, now, c.tried|1<<s, r.choices.Float64() < r.scenario.model(s, now).fails
	c.concurrency = len(r.running[s]) + 1
	r.running[s] = append(r.running[s], c)
	return true
}

// progress advances the requests at a server by one ms: up to its slots run, the others wait there.
func (r *capacityReplay) progress(s int, now clock.Time, ended func(*capacityCall)) {
	model := r.scenario.model(s, now)
	n := float64(min(len(r.running[s]), capacitySlots))
	rate := model.speed
	if model.knee > 0 && n > model.knee {
		rate *= model.knee / n * model.knee / n
	}
	r.running[s] = slices.DeleteFunc(r.running[s], func(c *capacityCall) bool {
		if c.failing && now.Sub(c.sent) >= clock.Span(failMs) {
			ended(c)
			return true
		}
		if n--; n < 0 {
			return false
		}
		if c.left -= rate; c.left <= 0 {
			ended(c)
			return true
		}
		return false
	})
}

// end records the end of a request and returns it to the queue if it is retried.
func (r *capacityReplay) end(e *capacityEntry, c *capacityCall, now clock.Time) {
	e.inFlight[c.server]--
	if c.failing {
		e.health[c.server].Record(now, Failure)
		e.capacities[c.server].Observe(now, CapacitySample{Failed: 1}, capacitySlots)
		if c.tried&(c.tried-1) == 0 {
			c.failing = false
			e.waiting = append(e.waiting, c)
		}
		return
	}
	e.health[c.server].Record(now, Success)
	e.capacities[c.server].Observe(now, CapacitySample{Answered: 1, Concurrency: float64(c.concurrency+len(r.running[c.server])) / 2, Time: max(float64(now.Sub(c.sent)), 1)}, capacitySlots)
	if c.arrived >= measuredFrom {
		r.result.times = append(r.result.times, float64(now.Sub(c.arrived)))
		if now.Sub(c.arrived) <= targetMs {
			r.result.good++
		}
	}
}

func (r *capacityReplay) run() *capacityResult {
	const maxWait = 120 * clock.Millisecond // then a waiting request is rejected
	owner := make(map[*capacityCall]*capacityEntry)
	for now := clock.Time(1); now < replayTime; now++ {
		if r.random.Float64() < r.scenario.perSecond/1000 {
			c := &capacityCall{arrived: now, left: baseMs * math.Exp(0.2*r.random.NormFloat64())}
			e := r.entries[r.random.IntN(len(r.entries))]
			owner[c] = e
			e.waiting = append(e.waiting, c)
			if now >= measuredFrom {
				r.result.offered++
			}
		}
		for s := range replayServers {
			r.progress(s, now, func(c *capacityCall) { r.end(owner[c], c, now) })
		}
		for i, e := range r.entries {
			r.hear(i, now)
			e.waiting = slices.DeleteFunc(e.waiting, func(c *capacityCall) bool { return now.Sub(c.arrived) > maxWait || r.send(e, c, now) })
		}
		mean := 0.0
		for _, l := range LearnCapacities(now, r.entries[0].capacities, r.slots, targetMs, CapacityBounds{Fixed: !r.policy.learn}) {
			mean += l.Requests / replayServers
		}
		r.result.room = append(r.result.room, mean)
	}
	return &r.result
}

// drawByWeight returns a random usable endpoint by weight, -1 if there is none.
func drawByWeight(endpoints []Endpoint, random func() uint64) int {
	total, last := 0.0, -1
	for i := range endpoints {
		if endpoints[i].Closed() == "" {
			total += max(endpoints[i].Weight, minLearnedWeight)
		}
	}
	left := total * uniform(random)
	for i := range endpoints {
		if endpoints[i].Closed() != "" {
			continue
		}
		last = i
		if left -= max(endpoints[i].Weight, minLearnedWeight); left < 0 {
			break
		}
	}
	return last
}

// capacityPolicies are the ways that the replays compare.
func capacityPolicies() []capacityPolicy {
	leastOutstanding := func(endpoints []Endpoint, random func() uint64) int {
		best, first := -1, int(random()%replayServers)
		for k := range endpoints {
			if i := (first + k) % len(endpoints); endpoints[i].Closed() == "" && (best < 0 || endpoints[i].InFlight() < endpoints[best].InFlight()) {
				best = i
			}
		}
		return best
	}
	return []capacityPolicy{
		{name: "fixed slots", pick: drawByWeight},
		{name: "least outstanding", pick: leastOutstanding},
		{name: "today", pick: func(e []Endpoint, random func() uint64) int { return PickEndpoint(e, "", random) }},
		{name: "learned", pick: func(e []Endpoint, random func() uint64) int { return PickByCapacity(e, "", random) }, learn: true},
	}
}

func replayCapacity(t *testing.T, s capacityScenario) map[string]*capacityResult {
	t.Helper()
	results := make(map[string]*capacityResult)
	for _, p := range capacityPolicies() {
		r := newCapacityReplay(s, p).run()
		results[p.name] = r
		t.Logf("%-18s goodput %.3f p50 %3.0f p99 %4.0f ms, change found after %4d ms, recovery after %4d ms, least capacity %.1f, mean %.1f before, %.1f in the change, %.1f after",
			p.name, float64(r.good)/float64(r.offered), r.quantile(0.5), r.quantile(0.99), r.findTime(2, changeAt, fairShare/2, false), r.findTime(2, changeBack, fairShare/2, true), r.least, r.meanRoom(measuredFrom, changeAt), r.meanRoom(changeAt, changeBack), r.meanRoom(changeBack, replayTime-1))
	}
	return results
}

func steady(m serverModel) func(int, clock.Time) serverModel {
	return func(int, clock.Time) serverModel { return m }
}

// changing returns servers of speed 1 of which the last is another one for a time.
func changing(changed serverModel) func(int, clock.Time) serverModel {
	return func(server int, now clock.Time) serverModel {
		if server == 2 && now >= changeAt && now < changeBack {
			return changed
		}
		return serverModel{speed: 1}
	}
}

func speeds(server int, _ clock.Time) serverModel {
	return serverModel{speed: []float64{1, 0.5, 0.25}[server]}
}

// TestCapacityReplays compares the learned capacities with fixed slots, least outstanding requests and the choice without
// coordinated admission. Each scenario guards against one way in which a limit can be wrong.
func TestCapacityReplays(t *testing.T) {
	const entries = 72
	atLeast := func(t *testing.T, results map[string]*capacityResult) {
		for name, r := range results {
			assert.GreaterOrEqual(t, results["learned"].good, r.good*99/100, "good answers, compared with %s", name)
		}
		assert.GreaterOrEqual(t, results["learned"].least, 1.0, "a limit closed a server")
	}
	t.Run("servers of different speed", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 180, model: speeds})
		atLeast(t, results)
		assert.Less(t, results["learned"].quantile(0.5), results["today"].quantile(0.5))
	})
	t.Run("a knee at half of the slots", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 230, model: steady(serverModel{speed: 1, knee: capacitySlots / 2})})
		atLeast(t, results)
		assert.Greater(t, results["learned"].good, results["today"].good)
	})
	t.Run("a server 12 times slower for a time", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 200, model: changing(serverModel{speed: 1.0 / 12})})
		atLeast(t, results)
		assert.Less(t, results["learned"].findTime(2, changeBack, fairShare/2, true), maxFindTime)
		assert.Less(t, results["learned"].findTime(2, changeAt, fairShare/2, false), maxFindTime)
	})
	t.Run("a server that fails fast for a time", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 200, model: changing(serverModel{speed: 1, fails: 1})})
		atLeast(t, results)
		assert.Less(t, results["learned"].findTime(2, changeBack, fairShare/2, true), maxFindTime)
	})
	t.Run("a server that fails every other request fast for a time", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 200, model: changing(serverModel{speed: 1, fails: 0.5})})
		atLeast(t, results)
		assert.Less(t, results["learned"].share(2, changeAt.Add(maxFindTime), changeBack), fairShare/2, "no ejection helps, as it never fails thrice in succession for long")
		assert.Less(t, results["learned"].findTime(2, changeBack, fairShare/2, true), maxFindTime)
	})
	t.Run("all servers slow at once", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 90, model: func(_ int, now clock.Time) serverModel {
			if now >= changeAt && now < changeBack {
				return serverModel{speed: 1.0 / 3}
			}
			return serverModel{speed: 1}
		}})
		r := results["learned"]
		assert.GreaterOrEqual(t, r.least, 1.0, "a limit closed a server")
		settled := changeAt.Add(maxFindTime)
		assert.Greater(t, r.meanRoom(settled, changeBack), 0.75*r.meanRoom(measuredFrom, changeAt), "capacity while all are slow")
		assert.Equal(t, maxFindTime, min(r.findTime(2, changeAt, fairShare/2, false), maxFindTime), "one server was taken for slow")
	})
	t.Run("few requests of many entries", func(t *testing.T) {
		results := replayCapacity(t, capacityScenario{entries: entries, perSecond: 40, model: speeds})
		atLeast(t, results)
		assert.Less(t, results["learned"].quantile(0.5), results["today"].quantile(0.5), "pooled samples tell the fast servers")
	})
}

// TestCapacityNeverClosesAServer guards against limits below one request, and values that are not numbers, whatever the samples
// of peers are.
func TestCapacityNeverClosesAServer(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		now := clock.Time(1)
		servers, slots := make([]*ServerCapacity, 3), []int{1, 6, 64}
		for i := range servers {
			servers[i] = &ServerCapacity{}
			for range rapid.IntRange(0, 30).Draw(t, "samples") {
				now = now.Add(clock.Span(rapid.IntRange(0, 3000).Draw(t, "pause")))
				s := CapacitySample{
					Concurrency: rapid.Float64().Draw(t, "concurrency"), Time: rapid.Float64().Draw(t, "ms"),
					Answered: rapid.Float64Range(-1, 2000).Draw(t, "answered"), Failed: rapid.Float64Range(-1, 2000).Draw(t, "failed"),
				}
				servers[i].Hear(now, "peer", s, slots[i])
				servers[i].Observe(now, CapacitySample{Concurrency: rapid.Float64Range(1, 9).Draw(t, "own"), Time: rapid.Float64Range(0.5, 1e4).Draw(t, "own ms"), Answered: 1}, slots[i])
			}
		}
		for i, l := range LearnCapacities(now, servers, slots, 0, CapacityBounds{}) {
			assert.True(t, l.Requests >= 1 && l.Requests <= float64(slots[i]), "capacity %v of %d slots", l.Requests, slots[i])
			assert.True(t, l.Weight > 0 && l.Weight <= float64(slots[i]), "weight %v of %d slots", l.Weight, slots[i])
		}
	})
}

// TestCapacityFollowsProbes guards against a memory so long that the few probes of a slow server do not show its recovery.
func TestCapacityFollowsProbes(t *testing.T) {
	now, servers, slots := clock.Time(1), []*ServerCapacity{{}, {}}, []int{capacitySlots, capacitySlots}
	sample := func(ms float64) CapacitySample { return CapacitySample{Concurrency: 1, Time: ms, Answered: 1} }
	observe := func(ms float64, pause clock.Span, until clock.Time) float64 {
		for now < until {
			now = now.Add(pause)
			servers[0].Observe(now, sample(baseMs), capacitySlots)
			servers[1].Observe(now, sample(ms), capacitySlots)
		}
		learned := LearnCapacities(now, servers, slots, targetMs, CapacityBounds{})
		return learned[1].Weight / learned[0].Weight
	}
	assert.InDelta(t, 1, observe(baseMs, 10, 60_000), 0.01)
	assert.Less(t, observe(12*baseMs, 10, 64_000), 0.2)
	assert.Greater(t, observe(baseMs, capacityProbe, clock.Time(64_000).Add(maxFindTime)), 0.5)
}

func TestSizeCorrection(t *testing.T) {
	var s SizeCorrection
	usual, large, small := 40.0, 0.0, 0.0
	for range 200 {
		small, large = s.Correct(20, 100, usual), s.Correct(80, 100_000, usual)
	}
	assert.InDelta(t, small, large, 1, "a large request must not make its server look slow")
	assert.Greater(t, s.Correct(800, 100_000, usual), 5*large, "a slow server must")
}

// TestCapacityCloneIsIndependent guards against a copy that shares the reports of peers with the original.
func TestCapacityCloneIsIndependent(t *testing.T) {
	var c ServerCapacity
	c.Hear(1000, "a", CapacitySample{Concurrency: 1, Time: 20, Answered: 2}, 4)
	before, used := c.Clone(), c.Clone()
	used.Hear(1100, "a", CapacitySample{Concurrency: 1, Time: 90, Answered: 2}, 4)
	used.Hear(1100, "b", CapacitySample{Concurrency: 1, Time: 90, Answered: 2}, 4)
	assert.Equal(t, before, c)
	assert.NotEqual(t, before, used)
}

// TestPeersAreForgotten guards against memory that grows with each entry that ever reported, and against a report that counts
// differently after its peer was forgotten.
func TestPeersAreForgotten(t *testing.T) {
	sample := CapacitySample{Concurrency: 1, Time: 40, Answered: 1}
	var c ServerCapacity
	for i := range 10_000 {
		c.Hear(clock.Time(1+10*i), fmt.Sprint(i), sample, 6)
	}
	assert.LessOrEqual(t, len(c.peers), 2*minPeersLimit)
	before := c.answered
	c.Hear(c.updatedAt, "9999", sample, 6)
	assert.InDelta(t, before, c.answered, 1e-9, "a report at the same time as the one before it")
	c.Hear(c.updatedAt, "1", sample, 6)
	assert.InDelta(t, before+1, c.answered, 1e-9, "a report of a forgotten peer")
}

// TestDrawByWeight guards against a draw of a closed endpoint, and against draws that differ from those of a linear search.
func TestDrawByWeight(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		endpoints := make([]Endpoint, 1+random.IntN(80))
		for i := range endpoints {
			endpoints[i] = Endpoint{Weight: 6 * random.Float64(), Leaving: random.IntN(3) == 0, Ejected: random.IntN(5) == 0}
		}
		number := random.Uint64()
		fixed := func() uint64 { return number }
		expected := drawByWeight(endpoints, fixed)
		if w := newWeightedEndpoints(endpoints); expected >= 0 {
			assert.Equal(t, expected, w.draw(fixed))
		} else {
			assert.Empty(t, w.usable)
			assert.Equal(t, -1, PickByCapacity(endpoints, "", fixed))
		}
	}
}
