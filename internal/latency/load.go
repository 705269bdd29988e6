package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/pkg/clock"
)

// Range and precision of measured latencies.
const (
	minLatencyNs      = int64(time.Microsecond)
	maxLatencyNs      = int64(time.Minute)
	significantDigits = 3
)

// loadGenerator sends requests from several workers, each with one request at a time.
type loadGenerator struct {
	workers int
	rate    float64    // requests per second of all workers together, 0 for no limit
	span    clock.Span // ms
}

// sendFunc sends one request and checks the complete response; the measured time ends when it calls mark, or else at its
// return.
type sendFunc func(worker, sequence int, mark func()) error

// result is the measurements of one load.
type result struct {
	latencies *hdrhistogram.Histogram // ns, of complete responses
	failures  int
	lastErr   error
	span      clock.Span // ms
}

func newResult() result {
	return result{latencies: hdrhistogram.New(minLatencyNs, maxLatencyNs, significantDigits)}
}

// merge adds the measurements of another load.
func (r *result) merge(other result) {
	r.latencies.Merge(other.latencies)
	r.failures += other.failures
	r.span += other.span
	if other.lastErr != nil {
		r.lastErr = other.lastErr
	}
}

// rate returns the complete responses per second.
func (r *result) rate() float64 {
	return float64(r.latencies.TotalCount()) / r.span.Duration().Seconds()
}

// percentile returns the latency in ms that the given percentage of requests does not exceed.
func (r *result) percentile(percent float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

// run sends requests for span ms and waits for the last responses.
func (l loadGenerator) run(send sendFunc) result {
	elapsed := clock.Stopwatch()
	p := pool.NewWithResults[result]()
	for worker := range l.workers {
		p.Go(func() result { return l.runWorker(worker, elapsed, send) })
	}
	sum := newResult()
	for _, r := range p.Wait() {
		sum.merge(r)
	}
	sum.span = l.span
	return sum
}

// runWorker sends one worker's requests; if the previous request delays a request, its latency counts from the due time.
func (l loadGenerator) runWorker(worker int, elapsed func() time.Duration, send sendFunc) result {
	r := newResult()
	for sequence := 0; ; sequence++ {
		due := l.due(worker, sequence, elapsed())
		if due >= l.span.Duration() {
			return r
		}
		start := due
		if wait := due - elapsed(); wait > 0 {
			time.Sleep(wait)
			start = elapsed()
		}
		r.recordRequest(start, elapsed, func(mark func()) error { return send(worker, sequence, mark) })
	}
}

// due returns when a request is due: at an even rate over all workers, or now where the rate isn't limited.
func (l loadGenerator) due(worker, sequence int, now time.Duration) time.Duration {
	if l.rate == 0 {
		return now
	}
	n := float64(sequence*l.workers + worker)
	return time.Duration(n / l.rate * float64(time.Second))
}

// recordRequest sends one request and records the time from start until send calls mark, or else until send returns; an
// error counts as a failure instead.
func (r *result) recordRequest(start time.Duration, elapsed func() time.Duration, send func(mark func()) error) {
	end := time.Duration(0)
	err := send(func() { end = elapsed() })
	if err != nil {
		r.failures++
		r.lastErr = err
		return
	}
	if end == 0 {
		end = elapsed()
	}
	if err := r.latencies.RecordValue(int64(end - start)); err != nil {
		r.failures++
		r.lastErr = err
	}
}
