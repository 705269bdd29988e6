package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/pkg/clock"
)

// Range and precision of measured times.
const (
	shortest = int64(time.Microsecond)
	longest  = int64(time.Minute)
	digits   = 3
)

// load sends requests from a number of workers, each with one request at a time.
type load struct {
	workers int
	rate    float64    // requests a second of all workers, 0 for as many as there can be
	span    clock.Span // ms
}

// request sends one request, calls mark when the time to measure ends, and checks the whole answer.
type request func(worker, turn int, mark func()) error

// result is what a load found.
type result struct {
	times  *hdrhistogram.Histogram // ns of whole answers
	failed int
	fault  error // the last one
	span   clock.Span
}

func newResult() result {
	return result{times: hdrhistogram.New(shortest, longest, digits)}
}

// add takes in what another load found.
func (r *result) add(other result) {
	r.times.Merge(other.times)
	r.failed += other.failed
	r.span += other.span
	if other.fault != nil {
		r.fault = other.fault
	}
}

// rate returns the whole answers a second.
func (r *result) rate() float64 {
	return float64(r.times.TotalCount()) / r.span.Duration().Seconds()
}

// quantile returns a time in ms.
func (r *result) quantile(percent float64) float64 {
	return float64(r.times.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

// run sends until the span is over and waits for the last answers.
func (l load) run(send request) result {
	passed := clock.Watch()
	p := pool.NewWithResults[result]()
	for worker := range l.workers {
		p.Go(func() result { return l.work(worker, passed, send) })
	}
	sum := newResult()
	for _, r := range p.Wait() {
		sum.add(r)
	}
	sum.span = l.span
	return sum
}

// work sends one worker's part; a request that is due while the last one runs is late from the moment it was due.
func (l load) work(worker int, passed func() time.Duration, send request) result {
	r := newResult()
	for turn := 0; ; turn++ {
		due := l.due(worker, turn, passed())
		if due >= l.span.Duration() {
			return r
		}
		start := due
		if wait := due - passed(); wait > 0 {
			time.Sleep(wait)
			start = passed()
		}
		r.measure(start, passed, func(mark func()) error { return send(worker, turn, mark) })
	}
}

// due returns when a turn begins: spread evenly over the workers at a rate, otherwise at once.
func (l load) due(worker, turn int, now time.Duration) time.Duration {
	if l.rate == 0 {
		return now
	}
	n := float64(turn*l.workers + worker)
	return time.Duration(n / l.rate * float64(time.Second))
}

// measure counts one request with the time from start to its mark, or to its end where it sets none.
func (r *result) measure(start time.Duration, passed func() time.Duration, send func(mark func()) error) {
	marked := time.Duration(0)
	err := send(func() { marked = passed() })
	if err != nil {
		r.failed++
		r.fault = err
		return
	}
	if marked == 0 {
		marked = passed()
	}
	if err := r.times.RecordValue(int64(marked - start)); err != nil {
		r.failed++
		r.fault = err
	}
}
