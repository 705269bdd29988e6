package skew

import (
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/expert"
)

// Parameters of the weight store in all runs.
const (
	expertBytes         = 1_000_000
	storeBytesPerSecond = 100_000_000
)

// Trace is the record of one policy under one workload.
type Trace struct {
	Skews  []float64 // by step
	Bounds []float64 // by step, lower bound of the skew of any map
	Loads  []int     // by step, number of experts loaded after the step
}

// Run simulates the workload under each policy; a map takes effect in the step after the report that it is based on.
func Run(w *Workload, policies []Policy) (traces []Trace, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "run %s", w.Kind)
		}
	}()
	traces = make([]Trace, len(policies))
	maps := make([]expert.Map, len(policies))
	for i := range maps {
		maps[i] = expert.RoundRobin(w.Shape)
	}
	for step := range uint64(w.Steps) {
		r := newReport(w, step)
		bound := expert.SkewLowerBound(w.Shape, r.Layers)
		for i, p := range policies {
			next, loads, err := p.Next(r)
			if err != nil {
				return nil, errors.Wrap(err, p.Name)
			}
			traces[i].add(expert.Skew(maps[i], r.Layers), bound, loads)
			maps[i] = next
		}
	}
	return traces, nil
}

func newReport(w *Workload, step uint64) expert.Report {
	return expert.Report{
		Step: step, Ranks: w.Shape.Ranks, Slots: w.Shape.Slots, ExpertBytes: expertBytes, BytesPerSecond: storeBytesPerSecond, Layers: w.Draw(step),
	}
}

func (t *Trace) add(skew, bound float64, loads int) {
	t.Skews = append(t.Skews, skew)
	t.Bounds = append(t.Bounds, bound)
	t.Loads = append(t.Loads, loads)
}
