package balancesim

import (
	"math/rand/v2"
	"slices"
)

// Service model of a fake backend server with continuous batching: a step generates one token for each running request
// whose prompt has been processed, and its duration grows with the batch and the prompt tokens processed in it.
const (
	stepBaseMs        = 12.0
	stepRequestMs     = 0.25 // per request in the batch
	stepPrefillMs     = 0.08 // per prompt token processed
	maxStepPrefill    = 512  // prompt tokens processed per step
	batchSlots        = 16   // requests per batch
	maxCachedPrefixes = 8    // capacity of the prefix cache
)

// request is one request to a backend server.
type request struct {
	prefix       uint64
	prefixTokens int
	suffixTokens int
	outputTokens int
	onFirstToken func(hit bool)
	onDone       func()

	cacheHit      bool
	prefillLeft   int // prompt tokens still to process
	emittedTokens int
}

// Output tokens of a request, uniformly distributed from minOutput to minOutput+outputRange-1.
const (
	minOutput   = 16
	outputRange = 96
	meanOutput  = minOutput + (outputRange-1)/2.0
)

// randomOutput returns a random number of output tokens.
func randomOutput(random *rand.Rand) int {
	return minOutput + random.IntN(outputRange)
}

// tokens returns the cost of r in tokens, which entries and agents know in advance.
func (r *request) tokens() uint32 {
	return uint32(r.prefixTokens + r.suffixTokens + r.outputTokens)
}

// server simulates a backend server.
type server struct {
	loop          *eventLoop
	name          string
	zone          string
	slowdown      float64 // factor on the step time
	onCacheChange func(prefix uint64, cached bool)

	waiting    []*request
	running    []*request
	cached     []uint64 // prefix numbers, most recently used first
	busy       bool
	loadTokens uint64 // cost of all waiting and running requests
	served     int
}

// submit queues r and starts a step if the server is idle.
func (s *server) submit(r *request) {
	s.waiting = append(s.waiting, r)
	s.loadTokens += uint64(r.tokens())
	if !s.busy {
		s.startStep()
	}
}

// startStep fills the batch and schedules the end of its next step.
func (s *server) startStep() {
	for len(s.waiting) > 0 && len(s.running) < batchSlots {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.admit(r)
	}
	s.busy = len(s.running) > 0
	if !s.busy {
		return
	}
	prefill := s.runPrefill()
	duration := stepBaseMs + stepRequestMs*float64(len(s.running)) + stepPrefillMs*float64(prefill)
	s.loop.after(simTime(duration*s.slowdown), s.finishStep)
}

func (s *server) admit(r *request) {
	r.cacheHit = slices.Contains(s.cached, r.prefix)
	r.prefillLeft = r.suffixTokens
	if !r.cacheHit {
		r.prefillLeft += r.prefixTokens
	}
	s.running = append(s.running, r)
}

// runPrefill assigns up to maxStepPrefill prompt tokens to this step and returns their number.
func (s *server) runPrefill() int {
	left := maxStepPrefill
	for _, r := range s.running {
		part := min(r.prefillLeft, left)
		r.prefillLeft -= part
		left -= part
	}
	return maxStepPrefill - left
}

// finishStep generates the tokens of a step, completes requests and starts the next step.
func (s *server) finishStep() {
	var left, ended []*request
	for _, r := range s.running {
		if r.prefillLeft == 0 {
			s.emitToken(r)
		}
		if r.emittedTokens < r.outputTokens {
			left = append(left, r)
			continue
		}
		ended = append(ended, r)
	}
	s.running = left
	for _, r := range ended {
		s.loadTokens -= uint64(r.tokens())
		s.served++
		r.onDone()
	}
	s.startStep()
}

func (s *server) emitToken(r *request) {
	r.emittedTokens++
	if r.emittedTokens > 1 {
		return
	}
	s.markUsed(r.prefix)
	r.onFirstToken(r.cacheHit)
}

// markUsed makes prefix the most recently used one in the cache, and evicts the least recently used one if the cache
// exceeds maxCachedPrefixes.
func (s *server) markUsed(prefix uint64) {
	if i := slices.Index(s.cached, prefix); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	} else if s.onCacheChange != nil {
		s.onCacheChange(prefix, true)
	}
	s.cached = slices.Insert(s.cached, 0, prefix)
	if len(s.cached) <= maxCachedPrefixes {
		return
	}
	evicted := s.cached[maxCachedPrefixes]
	s.cached = s.cached[:maxCachedPrefixes]
	if s.onCacheChange != nil {
		s.onCacheChange(evicted, false)
	}
}
