package balance

import (
	"github.com/cespare/xxhash/v2"
)

const (
	estimateGain   = 1.0 / 32 // per sample of a mean over requests
	minHintSamples = 4        // before a learned ratio is used
	maxHintRatio   = 64.0     // of the output to its hint, in either direction
	maxWork        = 16.0     // typical requests that one request counts for, so that a wrong hint does not close a rank
	typicalLeft    = 0.5      // of the output of a request of a peer, which is on average half done
	readingWork    = 3.0      // typical requests that a prompt being read counts for in addition: a second one in the same pass delays the whole group
	notOwnedWork   = 3.0      // typical requests by which another rank must be better than one that the entry owns
	workChoices    = 4        // ranks drawn at random in addition to the owned ones
)

// RequestSize is what is known of a request's size before it starts; 0 is unknown.
type RequestSize struct {
	PromptTokens         int
	ExpectedOutputTokens int // the caller's hint, which is right at the median
	MaxOutputTokens      int
}

// Work is the work that a request still needs at a rank, in typical requests.
type Work struct {
	Prompt  float64 // still to be read
	Output  float64 // still to be written
	Reading bool    // no event was received yet
}

// Load returns what the request adds to the load of its rank.
func (w Work) Load() float64 {
	load := 1 + w.Prompt + w.Output
	if w.Reading {
		load += readingWork
	}
	return load
}

// PeerLoad is the load of a request of another entry, of which only the rank is known.
const PeerLoad = 1 + typicalLeft

// WorkEstimator estimates the work of the requests of one service from their sizes, and learns the error of the hints.
type WorkEstimator struct {
	prompt mean // tokens
	output mean // events
	// ratio is the number of events to the hint in tokens. Its mean differs from its median, at which the hint is right.
	ratio mean
	limit mean // ratio of the events to the maximum output in tokens, for requests without a hint
}

// mean is a running mean of a positive quantity.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(1/float64(m.count), estimateGain)
}

// Estimate returns the work of a request that has not started.
func (e *WorkEstimator) Estimate(s RequestSize) Work {
	w := Work{Prompt: 1, Output: 1, Reading: true}
	if s.PromptTokens > 0 && e.prompt.count >= minHintSamples {
		w.Prompt = min(float64(s.PromptTokens)/e.prompt.value, maxWork)
	}
	if events := e.events(s); events > 0 && e.output.count >= minHintSamples {
		w.Output = min(events/e.output.value, maxWork)
	}
	return w
}

// events returns the expected number of events, 0 if unknown.
func (e *WorkEstimator) events(s RequestSize) float64 {
	switch {
	case s.ExpectedOutputTokens > 0 && e.ratio.count >= minHintSamples:
		return float64(s.ExpectedOutputTokens) * e.ratio.value
	case s.ExpectedOutputTokens == 0 && s.MaxOutputTokens > 0 && e.limit.count >= minHintSamples:
		return float64(s.MaxOutputTokens) * e.limit.value
	}
	return 0
}

// PerEvent returns the part of a typical request's output that one event is, 0 if unknown.
func (e *WorkEstimator) PerEvent() float64 {
	if e.output.count < minHintSamples {
		return 0
	}
	return 1 / e.output.value
}

// Observe learns from a request that completed with the given number of events.
func (e *WorkEstimator) Observe(s RequestSize, events int) {
	if events <= 0 {
		return
	}
	if s.PromptTokens > 0 {
		e.prompt.add(float64(s.PromptTokens))
	}
	e.output.add(float64(events))
	if s.ExpectedOutputTokens > 0 {
		e.ratio.add(boundedRatio(events, s.ExpectedOutputTokens))
	}
	if s.MaxOutputTokens > 0 {
		e.limit.add(boundedRatio(events, s.MaxOutputTokens))
	}
}

func boundedRatio(events, tokens int) float64 {
	return min(max(float64(events)/float64(tokens), 1/maxHintRatio), maxHintRatio)
}

// FirstEvent returns the work that is left after the first event, which shows that the prompt was read.
func (w Work) FirstEvent() Work {
	return Work{Output: w.Output}
}

// Event returns the work that is left after an event that wrote the given part of a typical output. A request that writes more
// than was expected still counts for its place in the batch.
func (w Work) Event(part float64) Work {
	w.Output = max(w.Output-part, 0)
	return w
}

// Owns reports whether the entry is the one of the live entries that prefers the server, by rendezvous hashing.
func Owns(server string, entries *EntrySet) bool {
	key := xxhash.Sum64String(server)
	own := rendezvousWeight(entries.Self, key)
	for _, name := range entries.Alive {
		if name != entries.Self && rendezvousWeight(name, key) > own {
			return false
		}
	}
	return len(entries.Alive) > 0
}

// PickByWork returns the index of an endpoint for a request, or -1 if none is usable: the one with the least load for its
// slots among those that this entry owns and a few drawn at random, where the owned ones are preferred.
//
// Entries that see the same old counts own different endpoints, so they differ in their choices.
func PickByWork(endpoints []Endpoint, zone string, random func() uint64) int {
	usable := make([]int, 0, len(endpoints))
	best := -1
	consider := func(i int) {
		if best < 0 || endpoints[i].lessWork(&endpoints[best], zone) {
			best = i
		}
	}
	for i := range endpoints {
		if endpoints[i].Closed() != "" {
			continue
		}
		if endpoints[i].Owned {
			consider(i)
			continue
		}
		usable = append(usable, i)
	}
	for range min(workChoices, len(usable)) {
		n := int(random() % uint64(len(usable)))
		consider(usable[n])
		usable[n] = usable[len(usable)-1]
		usable = usable[:len(usable)-1]
	}
	return best
}

// lessWork reports whether PickByWork prefers e to o.
func (e *Endpoint) lessWork(o *Endpoint, zone string) bool {
	a, b := e.workCost(), o.workCost()
	return a < b || (a == b && e.Zone == zone && o.Zone != zone)
}

// workCost returns the load for each slot, which is higher for an endpoint that this entry does not own.
func (e *Endpoint) workCost() float64 {
	load := e.Load
	if !e.Owned {
		load += notOwnedWork
	}
	return load / float64(max(e.Slots, 1))
}

// WorkChances returns the probability that PickByWork returns each of the endpoints.
func WorkChances(endpoints []Endpoint, zone string) (chances []float64) {
	chances = make([]float64, len(endpoints))
	var drawable []int
	owned := -1
	for i := range endpoints {
		switch {
		case endpoints[i].Closed() != "":
		case !endpoints[i].Owned:
			drawable = append(drawable, i)
		case owned < 0 || endpoints[i].lessWork(&endpoints[owned], zone):
			owned = i
		}
	}
	drawn, left := min(workChoices, len(drawable)), 1.0
	for _, i := range drawable {
		if owned >= 0 && !endpoints[i].lessWork(&endpoints[owned], zone) {
			continue
		}
		notBetter, worse := 0, 0
		for _, j := range drawable {
			if !endpoints[j].lessWork(&endpoints[i], zone) {
				notBetter++
			}
			if endpoints[i].lessWork(&endpoints[j], zone) {
				worse++
			}
		}
		chances[i] = (allDrawnFrom(notBetter, len(drawable), drawn) - allDrawnFrom(worse, len(drawable), drawn)) / float64(notBetter-worse)
		left -= chances[i]
	}
	if owned >= 0 {
		chances[owned] = max(left, 0)
	}
	return chances
}
