package balance

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"sort"

	"carawaypick/pkg/clock"
)

const (
	levelMemory      = 500 * clock.Millisecond // time constant of a server's time; a few probes must outweigh it within 2 s
	lowMemory        = 500 * clock.Millisecond // time constant of the time at low load
	recentMemory     = 200 * clock.Millisecond // time constant of the time that the limit follows
	failureMemory    = 400 * clock.Millisecond // time constant of the share of failures; a few answered probes must outweigh it within 2 s
	reportMemory     = 500 * clock.Millisecond // time constant of the samples that an entry reports, which spans lost heartbeats
	limitInterval    = 200 * clock.Millisecond // between two changes of a limit, in which the effect of the last one is seen
	capacityProbe    = 150 * clock.Millisecond // time without a sample after which a server is probed
	limitDecrease    = 0.75                    // factor
	limitIncrease    = 1.0 / 12                // of the slots
	slowShare        = 0.5                     // of the latency target, above which a limit falls; the rest is for waiting
	maxTimeRise      = 2.5                     // ratio to the server's time at low load up to which its limit does not fall
	maxSlowdown      = 4.0                     // ratio to the fastest server above which a server that misses the latency target loses capacity
	minLearnedWeight = 0.01                    // of a server's capacity in a choice
	maxSampleTime    = float64(clock.Minute)   // ms
	maxSampleCount   = 1024.0                  // samples in one report
	maxConcurrency   = 1 << 16                 // requests at one server
	capacityChoices  = 5                       // endpoints drawn by weight
	sizeClasses      = 40                      // powers of two of a request's size in bytes
	minSizeSamples   = 8                       // of a class before its times are corrected
	sizeGain         = 1.0 / 32                // per sample
	minPeersLimit    = 64                      // peers of a server before old ones are forgotten
)

// CapacityBounds bounds the learned capacities. The zero value lets them range from one request to the server's slots.
type CapacityBounds struct {
	Fixed  bool    // the capacity of a server is its slots
	Least  int     // requests, at least 1
	Factor float64 // most requests as a multiple of the server's slots, 1 if 0
}

// Clamp returns the capacity within the bounds for a server with the given slots.
func (b CapacityBounds) Clamp(capacity float64, slots int) float64 {
	factor := b.Factor
	if factor <= 0 {
		factor = 1
	}
	most := max(factor*float64(slots), 1)
	return min(max(capacity, float64(max(b.Least, 1))), most)
}

// CapacitySample summarizes the requests of one entry at one server.
type CapacitySample struct {
	Concurrency float64 // mean requests at the server, with the one itself
	Time        float64 // geometric mean of the ms from the send to the first byte of the answer
	Answered    float64 // requests that were answered
	Failed      float64 // requests that were rejected or failed
}

// Valid reports whether the sample can be used.
func (s CapacitySample) Valid() bool {
	if !(s.Answered >= 0) || !(s.Failed >= 0) || s.Answered+s.Failed > maxSampleCount {
		return false
	}
	if s.Answered == 0 {
		return s.Failed > 0
	}
	return s.Time > 0 && s.Time <= maxSampleTime && s.Concurrency >= 0 && s.Concurrency <= maxConcurrency
}

// ServerCapacity learns from the samples of all entries how many concurrent requests one incarnation of a server takes well.
//
// The limit follows the time of requests by additive increase and multiplicative decrease. The bound on the time is the larger
// one of a part of the latency target and of a multiple of the server's time at low load, so that a limit does not fall if fewer
// requests would not help. The zero value has learned nothing.
type ServerCapacity struct {
	level     decayedTime // at any load, for the choice of a server
	low       decayedTime // at no more than half of the slots
	recent    decayedTime // at any load, for the limit
	answered  float64     // decayed counts for the share of failures
	failed    float64
	cut       float64    // part of the slots that the limit leaves out
	cutAt     clock.Time // time of the last change of the limit
	sampledAt clock.Time
	updatedAt clock.Time

	own        ownSamples
	peers      map[string]clock.Time // time of the last report by peer
	peersLimit int                   // number of peers at which old ones are forgotten
}

// Clone returns a copy that can be changed without an effect on c.
func (c *ServerCapacity) Clone() ServerCapacity {
	n := *c
	n.peers = maps.Clone(c.peers)
	return n
}

// decayedTime is a geometric mean of times, in which a sample counts less with its age.
type decayedTime struct {
	mean   float64 // log ms
	weight float64 // decayed count of samples
	at     clock.Time
}

func (d *decayedTime) add(now clock.Time, logTime, count float64, memory clock.Span) {
	d.weight = d.weight*math.Exp(-float64(max(now.Sub(d.at), 0))/float64(memory)) + count
	d.at = now
	d.mean += (logTime - d.mean) * min(count/d.weight, 1)
}

// ownSamples are the decayed sums of an entry's own samples.
type ownSamples struct {
	concurrency, logTime, answered, failed float64
	at                                     clock.Time
}

// Observe records a request of this entry: its time in ms, corrected for its size, and the concurrency at the send. Failed
// requests have no time.
func (c *ServerCapacity) Observe(now clock.Time, s CapacitySample, slots int) {
	if !s.Valid() {
		return
	}
	factor := math.Exp(-float64(max(now.Sub(c.own.at), 0)) / float64(reportMemory))
	o := &c.own
	o.concurrency, o.logTime, o.answered, o.failed = o.concurrency*factor, o.logTime*factor, o.answered*factor, o.failed*factor
	o.at = now
	o.failed += s.Failed
	if s.Answered > 0 {
		o.answered += s.Answered
		o.concurrency += s.Answered * s.Concurrency
		o.logTime += s.Answered * math.Log(s.Time)
	}
	c.merge(now, s, slots)
}

// Own returns the latest samples of this entry for the other entries; ok is false if there are none.
func (c *ServerCapacity) Own(now clock.Time) (s CapacitySample, ok bool) {
	const least = 1.0 / 64 // samples; fewer are rounded to none
	factor := math.Exp(-float64(max(now.Sub(c.own.at), 0)) / float64(reportMemory))
	s.Answered, s.Failed = c.own.answered*factor, c.own.failed*factor
	if s.Answered < least {
		s.Answered = 0
	} else {
		s.Concurrency, s.Time = c.own.concurrency/c.own.answered, math.Exp(c.own.logTime/c.own.answered)
	}
	return s, s.Answered+s.Failed >= least
}

// Hear records the latest samples of a peer. Successive reports of a peer overlap: each counts for the time since the one
// before it.
func (c *ServerCapacity) Hear(now clock.Time, peer string, s CapacitySample, slots int) {
	if !s.Valid() {
		return
	}
	if c.peers == nil {
		c.peers = make(map[string]clock.Time)
	}
	share := 1.0
	if last, heard := c.peers[peer]; heard {
		share = min(max(float64(now.Sub(last)), 0)/float64(reportMemory), 1)
	}
	c.peers[peer] = now
	c.forgetPeers(now)
	s.Answered, s.Failed = s.Answered*share, s.Failed*share
	c.merge(now, s, slots)
}

// forgetPeers bounds the memory while entries come and go. A report counts in full if the one before it is older than
// reportMemory, as does the first one.
func (c *ServerCapacity) forgetPeers(now clock.Time) {
	if len(c.peers) < c.peersLimit {
		return
	}
	maps.DeleteFunc(c.peers, func(_ string, last clock.Time) bool { return now.Sub(last) >= reportMemory })
	c.peersLimit = max(2*len(c.peers), minPeersLimit)
}

// merge adds samples to what was learned.
func (c *ServerCapacity) merge(now clock.Time, s CapacitySample, slots int) {
	decay := math.Exp(-float64(max(now.Sub(c.updatedAt), 0)) / float64(failureMemory))
	c.updatedAt = max(c.updatedAt, now)
	c.answered, c.failed = c.answered*decay+s.Answered, c.failed*decay+s.Failed
	if s.Answered == 0 {
		return
	}
	logTime := math.Log(s.Time)
	c.level.add(now, logTime, s.Answered, levelMemory)
	c.recent.add(now, logTime, s.Answered, recentMemory)
	if s.Concurrency <= max(float64(slots)/2, 1) {
		c.low.add(now, logTime, s.Answered, lowMemory)
	}
	c.sampledAt = now
}

// updateLimit changes the limit, at least the given part of the slots: it falls while requests are slow by the latency target in
// ms and much slower than at low load.
func (c *ServerCapacity) updateLimit(now clock.Time, target clock.Span, least float64) {
	if now.Sub(c.cutAt) < limitInterval {
		return
	}
	bound := slowShare * float64(target)
	if c.low.weight > 0 {
		bound = max(bound, maxTimeRise*math.Exp(c.low.mean))
	}
	if bound == 0 {
		return
	}
	if c.recent.at > c.cutAt && math.Exp(c.recent.mean) > bound {
		c.cut = min(1-(1-c.cut)*limitDecrease, 1-least)
	} else {
		c.cut = max(c.cut-limitIncrease, 0)
	}
	c.cutAt = now
}

// failureShare returns the share of the latest requests that were rejected or failed.
func (c *ServerCapacity) failureShare() float64 {
	if c.answered+c.failed < 1 {
		return 0
	}
	return c.failed / (c.answered + c.failed)
}

// LearnedCapacity is what was learned of one server, compared with the other servers of its service.
type LearnedCapacity struct {
	Requests float64    // that the server takes well at once
	Weight   float64    // requests that it answers in the time in which the fastest server answers one, with its failures
	Age      clock.Span // ms since the last sample, -1 if there is none
}

// LearnCapacities returns what was learned of the servers of one service, and updates their limits; servers are nil if nothing
// may be known of them. The latency target is in ms, 0 if unknown.
//
// Times are compared with the fastest server: if all servers slow down at once, none of them loses capacity.
func LearnCapacities(now clock.Time, servers []*ServerCapacity, slots []int, target clock.Span, b CapacityBounds) []LearnedCapacity {
	fastest, fastestLow := math.Inf(1), math.Inf(1)
	for _, c := range servers {
		if c == nil || c.sampledAt == 0 || c.failureShare() >= 0.5 {
			continue
		}
		fastest = min(fastest, c.level.mean)
		if c.low.weight > 0 {
			fastestLow = min(fastestLow, c.low.mean)
		}
	}
	slowLog := math.Inf(1) // log ms at low load above which a server loses capacity
	if !math.IsInf(fastestLow, 1) {
		slowLog = math.Log(max(float64(target), maxSlowdown*math.Exp(fastestLow)))
	}
	learned := make([]LearnedCapacity, len(servers))
	for i, c := range servers {
		full := b.Clamp(math.Inf(1), slots[i])
		learned[i] = LearnedCapacity{Requests: full, Weight: full, Age: -1}
		if b.Fixed || c == nil {
			continue
		}
		good, speed, slow := 1-c.failureShare(), 1.0, 1.0
		if c.sampledAt > 0 {
			learned[i].Age = now.Sub(c.sampledAt)
			c.updateLimit(now, target, b.Clamp(0, slots[i])/full)
			if c.low.weight > 0 && c.low.mean > slowLog {
				slow = math.Exp(slowLog - c.low.mean)
			}
			if c.level.mean > fastest {
				speed = math.Exp(fastest - c.level.mean)
			}
		}
		learned[i].Requests = b.Clamp(full*(1-c.cut)*good*slow, slots[i])
		learned[i].Weight = max(learned[i].Requests*speed*good*good, minLearnedWeight)
	}
	return learned
}

// Stale reports whether the server gets too few requests to notice a change.
func (l LearnedCapacity) Stale() bool {
	return l.Age < 0 || l.Age > capacityProbe
}

// ProbeChance returns the probability with which one request of an entry probes a server, elapsed ms after its last chance.
// All entries together probe a server about once in each probe interval, whatever their number and rates.
func ProbeChance(elapsed clock.Span, entries int) float64 {
	return min(float64(max(elapsed, 0))/float64(capacityProbe*clock.Span(max(entries, 1))), 1)
}

// PickByCapacity returns the index of an endpoint for a request, or -1 if none is usable. It draws a few endpoints by their
// learned weights and takes the one with the fewest requests for its weight, in the given zone among equals.
//
// The weights are drawn because counts of peers are older than most requests take: the least loaded endpoint would be the same
// for all entries.
func PickByCapacity(endpoints []Endpoint, zone string, random func() uint64) int {
	w := newWeightedEndpoints(endpoints)
	if len(w.usable) == 0 {
		return -1
	}
	first := w.draw(random)
	for range capacityChoices - 1 {
		second := w.draw(random)
		if endpoints[second].lessUsed(&endpoints[first], zone) {
			first = second
		}
	}
	return first
}

// lessUsed reports whether PickByCapacity prefers e to o.
func (e *Endpoint) lessUsed(o *Endpoint, zone string) bool {
	a, b := float64(e.InFlight()+1)/e.Weight, float64(o.InFlight()+1)/o.Weight
	return a < b || (a == b && e.Zone == zone && o.Zone != zone)
}

// CapacityChances returns the probability that PickByCapacity returns each of the endpoints.
func CapacityChances(endpoints []Endpoint, zone string) (chances []float64) {
	chances = make([]float64, len(endpoints))
	total := 0.0
	for i := range endpoints {
		if endpoints[i].Closed() == "" {
			total += max(endpoints[i].Weight, minLearnedWeight)
		}
	}
	for i := range endpoints {
		if endpoints[i].Closed() != "" {
			continue
		}
		notBetter, worse := 0.0, 0.0 // weights
		for j := range endpoints {
			if endpoints[j].Closed() != "" {
				continue
			}
			weight := max(endpoints[j].Weight, minLearnedWeight)
			if !endpoints[j].lessUsed(&endpoints[i], zone) {
				notBetter += weight
			}
			if endpoints[i].lessUsed(&endpoints[j], zone) {
				worse += weight
			}
		}
		equal := math.Pow(notBetter/total, capacityChoices) - math.Pow(worse/total, capacityChoices)
		chances[i] = equal * max(endpoints[i].Weight, minLearnedWeight) / (notBetter - worse)
	}
	return chances
}

// weightedEndpoints are the usable endpoints of one choice.
type weightedEndpoints struct {
	usable []int     // indices
	sums   []float64 // of the weights up to each one
}

func newWeightedEndpoints(endpoints []Endpoint) (w weightedEndpoints) {
	w.usable, w.sums = make([]int, 0, len(endpoints)), make([]float64, 0, len(endpoints))
	total := 0.0
	for i := range endpoints {
		if endpoints[i].Closed() != "" {
			continue
		}
		total += max(endpoints[i].Weight, minLearnedWeight)
		w.usable, w.sums = append(w.usable, i), append(w.sums, total)
	}
	return w
}

// draw returns the index of a random endpoint by weight; there must be a usable one.
func (w weightedEndpoints) draw(random func() uint64) int {
	last := len(w.usable) - 1
	target := w.sums[last] * uniform(random)
	return w.usable[min(sort.Search(last, func(n int) bool { return w.sums[n] > target }), last)]
}

// uniform returns a random number in [0, 1).
func uniform(random func() uint64) float64 {
	return float64(random()>>11) / (1 << 53)
}

// SizeCorrection learns how the time of a request depends on its size, so that large requests do not make a server look slow.
type SizeCorrection struct {
	mean    float64 // of the log time over the server's level, over all sizes
	count   int
	classes [sizeClasses]struct {
		mean  float64
		count int
	}
}

// Correct returns the time in ms that a request of typical size would have taken, and learns from the request. The size is in
// bytes; the server's usual time is 0 if unknown.
func (s *SizeCorrection) Correct(ms float64, size int, usual float64) float64 {
	class := &s.classes[min(bits.Len(uint(max(size, 0))), sizeClasses-1)]
	corrected := ms
	if class.count >= minSizeSamples {
		corrected = ms * math.Exp(s.mean-class.mean)
	}
	if usual > 0 {
		rest := math.Log(ms / usual)
		s.count++
		s.mean += (rest - s.mean) * max(1/float64(s.count), sizeGain)
		class.count++
		class.mean += (rest - class.mean) * max(1/float64(class.count), sizeGain)
	}
	return corrected
}

// Usual returns the usual time in ms of a request, 0 if unknown.
func (c *ServerCapacity) Usual() float64 {
	if c.sampledAt == 0 {
		return 0
	}
	return math.Exp(c.level.mean)
}

// WorstServers returns the indices of the count servers with the least learned part of their slots, the worst first.
func WorstServers(learned []LearnedCapacity, slots []int, count int) []int {
	order := make([]int, len(learned))
	for i := range order {
		order[i] = i
	}
	part := func(i int) float64 { return learned[i].Weight / float64(max(slots[i], 1)) }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case part(a) < part(b):
			return -1
		case part(a) > part(b):
			return 1
		}
		return 0
	})
	return order[:min(count, len(order))]
}
