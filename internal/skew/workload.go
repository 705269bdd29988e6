package skew

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"carawaypick/pkg/expert"
)

// Kinds of drift.
const (
	SlowDrift     = "season" // popularity follows a slow random walk
	Burst         = "news"   // a hot expert appears in each layer, twice per run
	DailyCycle    = "day"    // popularity follows a periodic cycle
	SamplingNoise = "noise"  // popularity is constant, only the sampled counts vary
)

// Parameters of the workloads.
const (
	topicCount      = 6      // latent topics whose levels drive the popularity in all layers
	zipfExponent    = 0.9    // of the experts' base popularity
	topicDeviation  = 0.5    // standard deviation of a topic's effect on the log popularity of an expert
	cycleSteps      = 800    // steps per daily cycle
	driftDeviation  = 0.01   // standard deviation of a topic level's change per step in SlowDrift
	burstRiseSteps  = 5      // steps until a hot expert reaches its peak
	burstDecaySteps = 200    // steps in which a hot expert's share falls to 1/e of the peak
	burstPeakShare  = 0.25   // share of a layer's tokens that a hot expert draws at its peak
	tokensPerRank   = 4096.0 // routed tokens per rank, layer and step
)

// Workload generates the token counts of a group whose experts' popularity drifts.
type Workload struct {
	Kind       string
	Shape      expert.Shape
	Steps      int
	BurstSteps []uint64 // steps at which hot experts appear

	random      *rand.Rand
	baseLog     [][]float64   // log popularity by layer and expert
	topicEffect [][][]float64 // by topic, layer and expert
	topicLevel  []float64     // by topic
	topicPhase  []float64     // by topic, in radians
	hotExperts  [][]int       // by burst and layer
}

// NewWorkload returns a workload that is fully determined by its arguments.
func NewWorkload(kind string, s expert.Shape, steps int, seed uint64) *Workload {
	w := &Workload{Kind: kind, Shape: s, Steps: steps, random: rand.New(rand.NewPCG(seed, uint64(s.Ranks)))}
	for range s.Layers {
		w.baseLog = append(w.baseLog, w.zipfLogs())
	}
	for range topicCount {
		w.topicEffect = append(w.topicEffect, w.newTopicEffect())
		w.topicLevel = append(w.topicLevel, w.random.NormFloat64())
		w.topicPhase = append(w.topicPhase, w.random.Float64()*2*math.Pi)
	}
	for i := range 2 {
		w.BurstSteps = append(w.BurstSteps, uint64(steps*(2*i+1)/4))
		w.hotExperts = append(w.hotExperts, w.randomExperts())
	}
	return w
}

func (w *Workload) zipfLogs() []float64 {
	logs := make([]float64, w.Shape.Experts)
	for position, e := range w.random.Perm(w.Shape.Experts) {
		logs[e] = -zipfExponent * math.Log(float64(position+1))
	}
	return logs
}

func (w *Workload) newTopicEffect() [][]float64 {
	effect := make([][]float64, w.Shape.Layers)
	for l := range effect {
		effect[l] = make([]float64, w.Shape.Experts)
		for e := range effect[l] {
			effect[l][e] = topicDeviation * w.random.NormFloat64()
		}
	}
	return effect
}

func (w *Workload) randomExperts() []int {
	hot := make([]int, w.Shape.Layers)
	for l := range hot {
		hot[l] = w.random.IntN(w.Shape.Experts)
	}
	return hot
}

// Draw returns the token counts of a step by layer and expert; steps must be drawn in order, from 0.
func (w *Workload) Draw(step uint64) [][]int64 {
	w.advanceTopics(step)
	layers := make([][]int64, w.Shape.Layers)
	for l := range layers {
		layers[l] = w.sampleCounts(l, step)
	}
	return layers
}

func (w *Workload) advanceTopics(step uint64) {
	for k := range w.topicLevel {
		switch w.Kind {
		case SlowDrift:
			w.topicLevel[k] += driftDeviation*w.random.NormFloat64() - driftDeviation*driftDeviation/2*w.topicLevel[k]
		case DailyCycle:
			w.topicLevel[k] = math.Sin(2*math.Pi*float64(step)/cycleSteps + w.topicPhase[k])
		}
	}
}

func (w *Workload) sampleCounts(layer int, step uint64) []int64 {
	shares := w.shares(layer, step)
	counts := make([]int64, len(shares))
	for e, p := range shares {
		mean := p * tokensPerRank * float64(w.Shape.Ranks)
		counts[e] = int64(distuv.Poisson{Lambda: mean, Src: w.random}.Rand())
	}
	return counts
}

func (w *Workload) shares(layer int, step uint64) []float64 {
	shares := make([]float64, w.Shape.Experts)
	sum := 0.0
	for e := range shares {
		log := w.baseLog[layer][e]
		for k, level := range w.topicLevel {
			log += level * w.topicEffect[k][layer][e]
		}
		shares[e] = math.Exp(log)
		sum += shares[e]
	}
	for e := range shares {
		shares[e] /= sum
	}
	if w.Kind == Burst {
		w.applyBursts(shares, layer, step)
	}
	return shares
}

// applyBursts shifts token shares to the hot experts of the bursts so far.
func (w *Workload) applyBursts(shares []float64, layer int, step uint64) {
	for i, at := range w.BurstSteps {
		if step < at {
			continue
		}
		age := float64(step - at)
		share := burstPeakShare * min(1, (age+1)/burstRiseSteps) * math.Exp(-max(0, age-burstRiseSteps)/burstDecaySteps)
		for e := range shares {
			shares[e] *= 1 - share
		}
		shares[w.hotExperts[i][layer]] += share
	}
}
