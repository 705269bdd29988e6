package choice

import (
	"math/rand/v2"
	"slices"
)

// Service model of a fake backend server with continuous batching: each step emits one token of each running request
// and takes so many ms.
const (
	stepBase    = 12.0 // ms of a step
	stepRequest = 0.25 // ms more for each request in the batch
	stepPrefill = 0.08 // ms more for each prompt token
	stepBudget  = 512  // prompt tokens in a step
	slots       = 16   // requests in a batch
	cachedMost  = 8    // prefixes that fit its cache
)

// task is one request at a backend server.
type task struct {
	prefix       uint64
	prefixTokens int
	suffixTokens int
	output       int
	first        func(hit bool) // first token
	done         func()

	hit     bool
	prefill int // prompt tokens to do
	emitted int
}

// Tokens that requests ask for.
const (
	leastOutput = 16
	outputRange = 96
	meanOutput  = leastOutput + (outputRange-1)/2.0
)

// drawOutput returns the tokens that a request asks for.
func drawOutput(random *rand.Rand) int {
	return leastOutput + random.IntN(outputRange)
}

// tokens returns the expected cost that choosers know.
func (t *task) tokens() uint32 {
	return uint32(t.prefixTokens + t.suffixTokens + t.output)
}

// server is a fake backend server.
type server struct {
	loop    *loop
	name    string
	zone    string
	slow    float64 // multiple of the time of a step
	changed func(prefix uint64, held bool)

	waiting []*task
	running []*task
	cached  []uint64 // most recently used first
	busy    bool
	load    uint64 // tokens waiting and running
	served  int
}

// submit queues t.
func (s *server) submit(t *task) {
	s.waiting = append(s.waiting, t)
	s.load += uint64(t.tokens())
	if !s.busy {
		s.step()
	}
}

// step starts the next step of the batch.
func (s *server) step() {
	for len(s.waiting) > 0 && len(s.running) < slots {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.admit(t)
	}
	s.busy = len(s.running) > 0
	if !s.busy {
		return
	}
	prefill := s.prefill()
	span := stepBase + stepRequest*float64(len(s.running)) + stepPrefill*float64(prefill)
	s.loop.after(moment(span*s.slow), s.finish)
}

func (s *server) admit(t *task) {
	t.hit = slices.Contains(s.cached, t.prefix)
	t.prefill = t.suffixTokens
	if !t.hit {
		t.prefill += t.prefixTokens
	}
	s.running = append(s.running, t)
}

// prefill takes prompt tokens into this step and returns their number.
func (s *server) prefill() int {
	left := stepBudget
	for _, t := range s.running {
		part := min(t.prefill, left)
		t.prefill -= part
		left -= part
	}
	return stepBudget - left
}

// finish ends a step.
func (s *server) finish() {
	var left, ended []*task
	for _, t := range s.running {
		if t.prefill == 0 {
			s.emit(t)
		}
		if t.emitted < t.output {
			left = append(left, t)
			continue
		}
		ended = append(ended, t)
	}
	s.running = left
	for _, t := range ended {
		s.load -= uint64(t.tokens())
		s.served++
		t.done()
	}
	s.step()
}

func (s *server) emit(t *task) {
	t.emitted++
	if t.emitted > 1 {
		return
	}
	s.touch(t.prefix)
	t.first(t.hit)
}

// touch makes prefix the most recently used one of the cache.
func (s *server) touch(prefix uint64) {
	if i := slices.Index(s.cached, prefix); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	} else if s.changed != nil {
		s.changed(prefix, true)
	}
	s.cached = slices.Insert(s.cached, 0, prefix)
	if len(s.cached) <= cachedMost {
		return
	}
	evicted := s.cached[cachedMost]
	s.cached = s.cached[:cachedMost]
	if s.changed != nil {
		s.changed(evicted, false)
	}
}
