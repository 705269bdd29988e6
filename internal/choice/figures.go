package choice

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of first-token times in tenths of ms.
const (
	tenths     = 10
	mostTenths = 600_000 * tenths
	digits     = 3
)

// figures collects what a run shows.
type figures struct {
	times  *hdrhistogram.Histogram
	hits   int
	firsts int
	open   int
	served []int
}

func newFigures() *figures {
	return &figures{times: hdrhistogram.New(1, mostTenths, digits)}
}

// first counts a first token after span ms.
func (f *figures) first(span moment, hit bool) {
	tenth := min(max(int64(span*tenths), 1), mostTenths)
	if err := f.times.RecordValue(tenth); err != nil {
		panic(err)
	}
	f.firsts++
	if hit {
		f.hits++
	}
}

// server counts the requests that s served.
func (f *figures) server(s *server) {
	if s.slow == 1 {
		f.served = append(f.served, s.served)
	}
}

// add takes the figures of another run in.
func (f *figures) add(g *figures) {
	f.times.Merge(g.times)
	f.hits += g.hits
	f.firsts += g.firsts
	f.served = append(f.served, g.served...)
}

// quantile returns the first-token time in ms that q percent do not exceed.
func (f *figures) quantile(q float64) float64 {
	return float64(f.times.ValueAtQuantile(q)) / tenths
}

// hitShare returns the share of requests whose prefix was cached.
func (f *figures) hitShare() float64 {
	return float64(f.hits) / float64(max(f.firsts, 1))
}

// spread returns the most requests of a backend server of ordinary speed over their mean.
func (f *figures) spread() float64 {
	most, sum := 0, 0
	for _, n := range f.served {
		most = max(most, n)
		sum += n
	}
	return float64(most*len(f.served)) / float64(max(sum, 1))
}
