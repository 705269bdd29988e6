package skew

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"carawaypick/pkg/expert"
)

// Kinds of drift.
const (
	Season = "season" // popularity wanders slowly
	News   = "news"   // a hot expert appears in each layer within seconds, twice
	Day    = "day"    // popularity turns and returns
	Noise  = "noise"  // popularity stands, counts are samples
)

// Constants of the workloads.
const (
	topics   = 6      // latent causes that the layers share
	exponent = 0.9    // of the Zipf law
	depth    = 0.5    // standard deviation of a topic's effect on the log popularity of an expert
	period   = 800    // steps of a daily turn
	wander   = 0.01   // standard deviation of a season's change of a topic in a step
	rise     = 5      // steps in which news breaks
	fade     = 200    // steps in which news loses all but 1/e of its readers
	peak     = 0.25   // of all tokens that a hot expert draws at once
	tokens   = 4096.0 // routed tokens a rank, layer and step
)

// Workload draws the reports of a group whose experts' popularity drifts.
type Workload struct {
	Kind   string
	Shape  expert.Shape
	Steps  int
	Breaks []uint64 // steps at which news breaks

	random *rand.Rand
	base   [][]float64   // log popularity by layer and expert
	effect [][][]float64 // by topic, layer and expert
	level  []float64     // of each topic
	phase  []float64
	hot    [][]int // hot expert by news and layer
}

// NewWorkload returns a workload that depends on nothing but its arguments.
func NewWorkload(kind string, s expert.Shape, steps int, seed uint64) *Workload {
	w := &Workload{Kind: kind, Shape: s, Steps: steps, random: rand.New(rand.NewPCG(seed, uint64(s.Ranks)))}
	for range s.Layers {
		w.base = append(w.base, w.zipf())
	}
	for range topics {
		w.effect = append(w.effect, w.topic())
		w.level = append(w.level, w.random.NormFloat64())
		w.phase = append(w.phase, w.random.Float64()*2*math.Pi)
	}
	for i := range 2 {
		w.Breaks = append(w.Breaks, uint64(steps*(2*i+1)/4))
		w.hot = append(w.hot, w.experts())
	}
	return w
}

func (w *Workload) zipf() []float64 {
	logs := make([]float64, w.Shape.Experts)
	for place, e := range w.random.Perm(w.Shape.Experts) {
		logs[e] = -exponent * math.Log(float64(place+1))
	}
	return logs
}

func (w *Workload) topic() [][]float64 {
	effect := make([][]float64, w.Shape.Layers)
	for l := range effect {
		effect[l] = make([]float64, w.Shape.Experts)
		for e := range effect[l] {
			effect[l][e] = depth * w.random.NormFloat64()
		}
	}
	return effect
}

func (w *Workload) experts() []int {
	hot := make([]int, w.Shape.Layers)
	for l := range hot {
		hot[l] = w.random.IntN(w.Shape.Experts)
	}
	return hot
}

// Draw returns the tokens of the step, from 0; steps are drawn in order.
func (w *Workload) Draw(step uint64) [][]int64 {
	w.drift(step)
	layers := make([][]int64, w.Shape.Layers)
	for l := range layers {
		layers[l] = w.counts(l, step)
	}
	return layers
}

func (w *Workload) drift(step uint64) {
	for k := range w.level {
		switch w.Kind {
		case Season:
			w.level[k] += wander*w.random.NormFloat64() - wander*wander/2*w.level[k]
		case Day:
			w.level[k] = math.Sin(2*math.Pi*float64(step)/period + w.phase[k])
		}
	}
}

func (w *Workload) counts(layer int, step uint64) []int64 {
	shares := w.shares(layer, step)
	counts := make([]int64, len(shares))
	for e, p := range shares {
		mean := p * tokens * float64(w.Shape.Ranks)
		counts[e] = int64(distuv.Poisson{Lambda: mean, Src: w.random}.Rand())
	}
	return counts
}

func (w *Workload) shares(layer int, step uint64) []float64 {
	shares := make([]float64, w.Shape.Experts)
	sum := 0.0
	for e := range shares {
		log := w.base[layer][e]
		for k, level := range w.level {
			log += level * w.effect[k][layer][e]
		}
		shares[e] = math.Exp(log)
		sum += shares[e]
	}
	for e := range shares {
		shares[e] /= sum
	}
	if w.Kind == News {
		w.report(shares, layer, step)
	}
	return shares
}

// report shifts tokens to the experts that the news has made hot.
func (w *Workload) report(shares []float64, layer int, step uint64) {
	for i, at := range w.Breaks {
		if step < at {
			continue
		}
		age := float64(step - at)
		part := peak * min(1, (age+1)/rise) * math.Exp(-max(0, age-rise)/fade)
		for e := range shares {
			shares[e] *= 1 - part
		}
		shares[w.hot[i][layer]] += part
	}
}
