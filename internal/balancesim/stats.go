package balancesim

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram, in tenths of ms.
const (
	tenthsPerMs       = 10
	maxTenths         = 600_000 * tenthsPerMs
	significantDigits = 3
)

// stats collects the results of a run.
type stats struct {
	latencies *hdrhistogram.Histogram
	cacheHits int
	count     int   // recorded latencies
	inFlight  int   // requests sent but not completed
	served    []int // requests by backend server, without slowed ones
}

func newStats() *stats {
	return &stats{latencies: hdrhistogram.New(1, maxTenths, significantDigits)}
}

// record counts a latency in ms and whether the prefix was cached.
func (st *stats) record(latency simTime, hit bool) {
	tenth := min(max(int64(latency*tenthsPerMs), 1), maxTenths)
	if err := st.latencies.RecordValue(tenth); err != nil {
		panic(err)
	}
	st.count++
	if hit {
		st.cacheHits++
	}
}

// addServer adds the number of requests that s served, unless s is slowed down.
func (st *stats) addServer(s *server) {
	if s.slowdown == 1 {
		st.served = append(st.served, s.served)
	}
}

// merge adds the results of another run.
func (st *stats) merge(other *stats) {
	st.latencies.Merge(other.latencies)
	st.cacheHits += other.cacheHits
	st.count += other.count
	st.served = append(st.served, other.served...)
}

// percentile returns the latency in ms that the given percentage of records does not exceed.
func (st *stats) percentile(percent float64) float64 {
	return float64(st.latencies.ValueAtQuantile(percent)) / tenthsPerMs
}

// hitRatio returns the share of recorded requests whose prefix was cached.
func (st *stats) hitRatio() float64 {
	return float64(st.cacheHits) / float64(max(st.count, 1))
}

// imbalance returns the highest number of requests served by a backend server over the mean, without slowed ones.
func (st *stats) imbalance() float64 {
	highest, sum := 0, 0
	for _, n := range st.served {
		highest = max(highest, n)
		sum += n
	}
	return float64(highest*len(st.served)) / float64(max(sum, 1))
}
