package skew

import (
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/expert"
)

// Sizes of the experts and the weight store in the measurements.
const (
	weight = 1_000_000   // bytes of one expert
	rate   = 100_000_000 // bytes a second of the weight store
)

// Trace is what one policy did under one workload.
type Trace struct {
	Skews  []float64 // by step
	Bounds []float64 // by step: no map goes below
	Loads  []int     // experts loaded after each step
}

// Run plays the workload under the policy; a map takes effect in the step after the report that led to it.
func Run(w *Workload, p Policy) (trace Trace, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "run %s under %s", w.Kind, p.Name)
		}
	}()
	now := expert.RoundRobin(w.Shape)
	for step := range uint64(w.Steps) {
		layers := w.Draw(step)
		trace.Skews = append(trace.Skews, expert.Skew(now, layers))
		trace.Bounds = append(trace.Bounds, expert.Bound(w.Shape, layers))
		next, loads, err := p.Next(expert.Report{
			Step: step, Ranks: w.Shape.Ranks, Slots: w.Shape.Slots, Weight: weight, Rate: rate, Layers: layers,
		})
		if err != nil {
			return trace, err
		}
		trace.Loads = append(trace.Loads, loads)
		now = next
	}
	return trace, nil
}
