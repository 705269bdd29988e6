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
)

// placementReplay is a lock-step group whose ranks are chosen by many entries with old counts of each other.
type placementReplay struct {
	random  *rand.Rand // of the requests, which are the same for each choice
	choices *rand.Rand // of the choices and of the ages of counts
	pick    func(endpoints []Endpoint, random func() uint64) int
	owned   [][]bool        // by entry and rank
	counts  [][]int         // requests in flight by entry and rank
	seen    [][][]int       // counts of a peer as an entry knows them
	renew   [][]float64     // ms at which they are renewed
	running [][]*replayed   // by rank
	hints   []WorkEstimator // by entry
}

// replayed is one request of a replay.
type replayed struct {
	entry          int
	arrived        float64 // ms
	size           RequestSize
	unread, tokens float64 // left
	events         int
	work           Work
}

// placementResult is what a replay measured.
type placementResult struct {
	doubled   float64 // share of the starts that share a rank with another one in one pass
	requests  float64 // busiest rank over the mean, mean over the passes
	work      float64 // the same for the tokens left, a prompt token at its share of time
	arrivals  float64 // most starts of one rank over the mean, over 5 s
	pass      float64 // mean ms
	p50, p99  float64 // ms to the first event
	large     float64 // p99 of the requests with the longest prompts
	completed int
}

const (
	replayRanks, replayEntries, replaySlots = 63, 36, 10
	replayStartsPerMs                       = 0.25
	replayMs                                = 40_000.0
)

func newPlacementReplay(seed uint64, pick func([]Endpoint, func() uint64) int) *placementReplay {
	p := &placementReplay{random: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2)), pick: pick, hints: make([]WorkEstimator, replayEntries)}
	names := make([]string, replayEntries)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	for i := range replayEntries {
		owned := make([]bool, replayRanks)
		for r := range owned {
			owned[r] = Owns(fmt.Sprint("rank", r), &EntrySet{Self: names[i], Alive: names, Known: replayEntries})
		}
		p.owned = append(p.owned, owned)
		p.counts = append(p.counts, make([]int, replayRanks))
		p.seen = append(p.seen, make([][]int, replayEntries))
		p.renew = append(p.renew, make([]float64, replayEntries))
		for k := range p.seen[i] {
			p.seen[i][k] = make([]int, replayRanks)
			p.renew[i][k] = 600 * p.choices.Float64()
		}
	}
	for range replayRanks {
		p.running = append(p.running, nil)
	}
	return p
}

// endpoints returns the ranks as the entry knows them.
func (p *placementReplay) endpoints(entry int, now float64) []Endpoint {
	endpoints := make([]Endpoint, replayRanks)
	for k := range replayEntries {
		if k != entry && now >= p.renew[entry][k] {
			copy(p.seen[entry][k], p.counts[k])
			p.renew[entry][k] = now + 100 + 500*p.choices.Float64()
		}
	}
	for r := range endpoints {
		e := &endpoints[r]
		e.Slots, e.Owned, e.OwnInFlight = replaySlots, p.owned[entry][r], p.counts[entry][r]
		for k := range replayEntries {
			if k != entry {
				e.PeerInFlight += p.seen[entry][k][r]
			}
		}
		e.Load = float64(e.PeerInFlight) * PeerLoad
		for _, q := range p.running[r] {
			if q.entry == entry {
				e.Load += q.work.Load()
			}
		}
	}
	return endpoints
}

func (p *placementReplay) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2)
}

// start places a request of a random entry.
func (p *placementReplay) start(now float64) (rank int, q *replayed) {
	hint := p.logNormal(97, 0.5)
	q = &replayed{
		entry: p.random.IntN(replayEntries), arrived: now,
		unread: min(max(p.logNormal(800, 0.9), 16), 2900),
		tokens: max(hint*math.Exp(0.6*p.random.NormFloat64())/math.Exp(0.18), 1),
	}
	q.size = RequestSize{PromptTokens: int(q.unread), ExpectedOutputTokens: int(hint / math.Exp(0.18))}
	q.work = p.hints[q.entry].Estimate(q.size)
	rank = p.pick(p.endpoints(q.entry, now), p.choices.Uint64)
	p.counts[q.entry][rank]++
	p.running[rank] = append(p.running[rank], q)
	return rank, q
}

// replay runs the group: a pass has five steps, each as long as its slowest rank needs.
func (p *placementReplay) replay() (result placementResult) {
	const stepMs, requestMs, stepsPerPass, promptPerMs, chunk, largePrompt = 4.55, 1.09, 5, 61.4, 512.0, 2000
	var first, large []float64
	started, passes, warm := make([]int, replayRanks), 0.0, replayMs/8
	next, starts, doubled := 0.0, 0, 0
	for now := 0.0; now < replayMs; {
		length, busiest, most, all, mostWork, allWork := 0.0, 0, 0.0, 0.0, 0.0, 0.0
		for r := range p.running {
			busiest = max(busiest, len(p.running[r]))
			work := 0.0
			for _, q := range p.running[r] {
				work += q.unread/promptPerMs + q.tokens*requestMs
			}
			all, allWork, mostWork = all+float64(len(p.running[r])), allWork+work, max(mostWork, work)
		}
		most = float64(busiest)
		for range stepsPerPass {
			read := 0.0
			for r := range p.running {
				left := chunk
				for _, q := range p.running[r] {
					take := min(q.unread, left)
					q.unread -= take
					left -= take
				}
				read = max(read, chunk-left)
			}
			length += stepMs + requestMs*most + read/promptPerMs
		}
		end := now + length
		for r := range p.running {
			for _, q := range p.running[r] {
				if q.unread > 0 {
					continue
				}
				if q.events++; q.events == 1 {
					q.work = q.work.FirstEvent()
					if now > warm {
						first = append(first, end-q.arrived)
						if q.size.PromptTokens >= largePrompt {
							large = append(large, end-q.arrived)
						}
					}
				}
				q.work = q.work.Event(p.hints[q.entry].PerEvent())
				if q.tokens -= stepsPerPass; q.tokens <= 0 {
					p.counts[q.entry][r]--
					p.hints[q.entry].Observe(q.size, q.events)
					result.completed++
				}
			}
			p.running[r] = slices.DeleteFunc(p.running[r], func(q *replayed) bool { return q.tokens <= 0 })
		}
		inPass := make([]int, replayRanks)
		for next < end {
			r, _ := p.start(next)
			inPass[r]++
			next += p.random.ExpFloat64() / replayStartsPerMs
		}
		if now > warm {
			passes++
			result.pass += length
			result.requests += most / (all / replayRanks)
			result.work += mostWork / (allWork / replayRanks)
			for r, n := range inPass {
				started[r] += n
				starts += n
				if n > 1 {
					doubled += n
				}
			}
		}
		now = end
	}
	slices.Sort(first)
	slices.Sort(large)
	at := func(list []float64, q float64) float64 { return list[int(q*float64(len(list)-1))] }
	result.doubled = float64(doubled) / float64(starts)
	result.arrivals = float64(slices.Max(started)) / (float64(starts) / replayRanks)
	result.requests, result.work, result.pass = result.requests/passes, result.work/passes, result.pass/passes
	result.p50, result.p99, result.large = at(first, 0.5), at(first, 0.99), at(large, 0.99)
	return result
}

// replayPlacement returns the mean over three replays.
func replayPlacement(pick func([]Endpoint, func() uint64) int) (m placementResult) {
	const runs = 3
	for seed := range uint64(runs) {
		r := newPlacementReplay(seed, pick).replay()
		m.doubled, m.requests, m.work, m.arrivals = m.doubled+r.doubled/runs, m.requests+r.requests/runs, m.work+r.work/runs, m.arrivals+r.arrivals/runs
		m.pass, m.p50, m.p99, m.large, m.completed = m.pass+r.pass/runs, m.p50+r.p50/runs, m.p99+r.p99/runs, m.large+r.large/runs, m.completed+r.completed
	}
	return m
}

// TestPlacementByWork guards against a placement by work that is worse than the choice by requests in flight: more starts that
// share a rank in one pass, longer passes, a busier rank, or long prompts that are put off.
func TestPlacementByWork(t *testing.T) {
	const today, tolerance = 1.76, 1.05 // busiest rank over the mean of arrivals, from the requirements; of the work, which depends on few long answers
	byRequests := replayPlacement(func(e []Endpoint, random func() uint64) int { return PickEndpoint(e, "", random) })
	byWork := replayPlacement(func(e []Endpoint, random func() uint64) int { return PickByWork(e, "", random) })
	for name, r := range map[string]placementResult{"requests": byRequests, "work": byWork} {
		t.Logf("by %-8s: %.2f of the starts share rank and pass; busiest over mean %.2f in requests, %.2f in work, %.2f in arrivals; pass %.0f ms; first event p50 %.0f p99 %.0f ms, of long prompts %.0f ms; %d completed",
			name, r.doubled, r.requests, r.work, r.arrivals, r.pass, r.p50, r.p99, r.large, r.completed)
	}
	assert.Less(t, byWork.doubled, 0.9*byRequests.doubled, "starts that share a rank in one pass")
	assert.Less(t, byWork.pass, byRequests.pass, "length of a pass")
	assert.Less(t, byWork.requests, byRequests.requests, "busiest rank in requests")
	assert.Less(t, byWork.work, tolerance*byRequests.work, "busiest rank in work")
	assert.Less(t, byWork.arrivals, today, "busiest rank in arrivals")
	assert.Less(t, byWork.large, byRequests.large, "first event of long prompts")
	assert.GreaterOrEqual(t, float64(byWork.completed), 0.99*float64(byRequests.completed))
}

// TestPickByWorkPlacesAnyRequest guards against a request that no rank gets, whatever the loads are.
func TestPickByWorkPlacesAnyRequest(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		endpoints := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
			return Endpoint{
				Slots: rapid.IntRange(0, 10).Draw(t, "slots"), Load: rapid.Float64Range(0, 1e6).Draw(t, "load"),
				Owned: rapid.Bool().Draw(t, "owned"), Ejected: rapid.Bool().Draw(t, "ejected"),
			}
		}), 0, 70).Draw(t, "endpoints")
		i := PickByWork(endpoints, "z", rand.New(rand.NewPCG(1, 2)).Uint64)
		open := slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.Closed() == "" })
		assert.Equal(t, open, i >= 0)
		if i >= 0 {
			assert.Empty(t, endpoints[i].Closed())
		}
	})
}

func TestWorkEstimator(t *testing.T) {
	t.Run("learns that the hint is low in the mean", func(t *testing.T) {
		var e WorkEstimator
		random := rand.New(rand.NewPCG(1, 3))
		for range 2000 {
			e.Observe(RequestSize{PromptTokens: 800, ExpectedOutputTokens: 100}, int(max(20*math.Exp(0.8*random.NormFloat64()), 1)))
		}
		assert.Greater(t, e.events(RequestSize{ExpectedOutputTokens: 100}), 23.0, "the median is 20, the mean 27")
	})
	t.Run("does not let a wrong hint close a rank", func(t *testing.T) {
		var e WorkEstimator
		for range 10 {
			e.Observe(RequestSize{PromptTokens: 800, ExpectedOutputTokens: 100}, 20)
		}
		w := e.Estimate(RequestSize{PromptTokens: 1 << 40, ExpectedOutputTokens: 1 << 40})
		assert.LessOrEqual(t, w.Load(), 2+readingWork+2*maxWork)
	})
	t.Run("counts a prompt that is being read for more than a second request", func(t *testing.T) {
		assert.Greater(t, Work{Output: 1, Reading: true}.Load(), 2*Work{Output: typicalLeft}.Load())
	})
	t.Run("counts a request without sizes as a typical one", func(t *testing.T) {
		var e WorkEstimator
		assert.Equal(t, Work{Prompt: 1, Output: 1, Reading: true}, e.Estimate(RequestSize{}))
		assert.Less(t, e.Estimate(RequestSize{}).FirstEvent().Load(), e.Estimate(RequestSize{}).Load())
	})
}
