package skew

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Parameters of the topic workload.
const (
	mixTopics         = 9
	mixZipfExponent   = 0.8                      // of the topics' long-run popularity
	mixBaseDeviation  = 0.3                      // standard deviation of the log popularity of experts that all topics share
	mixTopicDeviation = 1.0                      // standard deviation of a topic's effect on the log popularity of an expert
	shiftInterval     = 3300 * clock.Millisecond // between two changes of the mix
	minShiftShare     = 0.55                     // least share of the requests that take the new topic
	maxShiftShare     = 0.8                      // highest share of the requests that take the new topic
	reportRequests    = 150                      // requests that contribute to one report
	reportTokens      = 20_000                   // routed tokens per layer in one report
)

// TopicWorkload generates the token counts of a group whose requests are a mix of recurring topics that changes at once.
type TopicWorkload struct {
	Shape  expert.Shape
	random *rand.Rand
	topics [][][]float64 // shares by topic, layer and expert
	usual  []float64     // long-run weights of the topics
	hot    int
	mix    []float64 // present weights of the topics
}

// NewTopicWorkload returns a workload that is fully determined by its arguments.
func NewTopicWorkload(s expert.Shape, seed uint64) *TopicWorkload {
	w := &TopicWorkload{Shape: s, random: rand.New(rand.NewPCG(seed, uint64(s.Ranks))), hot: -1}
	base := make([][]float64, s.Layers)
	for l := range base {
		for range s.Experts {
			base[l] = append(base[l], mixBaseDeviation*w.random.NormFloat64())
		}
	}
	for k := range mixTopics {
		w.usual = append(w.usual, math.Pow(float64(k+1), -mixZipfExponent))
		topic := make([][]float64, s.Layers)
		for l := range topic {
			for e := range s.Experts {
				topic[l] = append(topic[l], math.Exp(base[l][e]+mixTopicDeviation*w.random.NormFloat64()))
			}
			normalize(topic[l])
		}
		w.topics = append(w.topics, topic)
	}
	normalize(w.usual)
	w.Shift()
	return w
}

// Shift changes the mix: a share of the requests takes another topic, drawn by its popularity.
func (w *TopicWorkload) Shift() {
	next := w.hot
	for next == w.hot {
		next = w.drawTopic(w.usual)
	}
	w.hot = next
	share := minShiftShare + (maxShiftShare-minShiftShare)*w.random.Float64()
	w.mix = make([]float64, mixTopics)
	for k, p := range w.usual {
		w.mix[k] = (1 - share) * p
	}
	w.mix[w.hot] += share
}

// Shares returns the present shares of the tokens by layer and expert.
func (w *TopicWorkload) Shares() [][]float64 {
	return w.blend(w.mix)
}

// UsualShares returns the long-run shares of the tokens by layer and expert.
func (w *TopicWorkload) UsualShares() [][]float64 {
	return w.blend(w.usual)
}

// Draw returns counts for the given number of report intervals, from requests whose topics are drawn from the mix.
func (w *TopicWorkload) Draw(intervals float64) [][]int64 {
	drawn := make([]float64, mixTopics)
	requests := max(1, int(reportRequests*intervals))
	for range requests {
		drawn[w.drawTopic(w.mix)] += 1 / float64(requests)
	}
	counts := make([][]int64, w.Shape.Layers)
	for l, shares := range w.blend(drawn) {
		counts[l] = make([]int64, w.Shape.Experts)
		for e, p := range shares {
			counts[l][e] = int64(distuv.Poisson{Lambda: p * reportTokens * intervals, Src: w.random}.Rand())
		}
	}
	return counts
}

// exactCounts returns counts in proportion to the present shares.
func (w *TopicWorkload) exactCounts() [][]int64 {
	counts := make([][]int64, w.Shape.Layers)
	for l, shares := range w.Shares() {
		for _, p := range shares {
			counts[l] = append(counts[l], int64(p*reportTokens*1000))
		}
	}
	return counts
}

func (w *TopicWorkload) drawTopic(weights []float64) int {
	at := w.random.Float64()
	for k, p := range weights {
		at -= p
		if at < 0 {
			return k
		}
	}
	return len(weights) - 1
}

func (w *TopicWorkload) blend(weights []float64) [][]float64 {
	shares := make([][]float64, w.Shape.Layers)
	for l := range shares {
		shares[l] = make([]float64, w.Shape.Experts)
		for k, weight := range weights {
			for e, p := range w.topics[k][l] {
				shares[l][e] += weight * p
			}
		}
	}
	return shares
}

func normalize(values []float64) {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	for i := range values {
		values[i] /= sum
	}
}
