package skew

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/internal/measure"
	"carawaypick/pkg/expert"
)

// Sizes of the measurement.
const (
	seeds   = 8
	length  = 1000 // steps of a run
	warm    = 20   // steps at the start, under the given first map, that no row counts
	workers = 3
)

// Targets of issue 5.
const (
	slowTarget  = 1.05
	newsTarget  = 1.15
	bytesTarget = 0.25
	gainTarget  = 0.95
)

// trial is one kind of drift on one shape, with the traces by seed and policy.
type trial struct {
	kind   string
	shape  expert.Shape
	breaks []uint64
	traces [][]Trace
}

func names() []string {
	return []string{Never, Full, Previous, Paced, Planner}
}

func shapes() []expert.Shape {
	return []expert.Shape{
		{Ranks: 8, Slots: 10, Experts: 64, Layers: 4},
		{Ranks: 32, Slots: 4, Experts: 64, Layers: 4},
	}
}

// Rows runs all workloads under all policies and returns their rows; it writes a plot of each kind into the folder.
func Rows(folder string) (rows []measure.Row, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "measure skew")
		}
	}()
	for _, s := range shapes() {
		for _, kind := range []string{Season, News, Day, Noise} {
			t, err := runTrial(kind, s)
			if err != nil {
				return nil, err
			}
			rows = append(rows, t.rows()...)
			if err := t.draw(folder); err != nil {
				return nil, err
			}
		}
	}
	return rows, nil
}

func runTrial(kind string, s expert.Shape) (trial, error) {
	t := trial{kind: kind, shape: s, traces: make([][]Trace, seeds)}
	t.breaks = NewWorkload(kind, s, length, 0).Breaks
	p := pool.New().WithErrors().WithMaxGoroutines(workers)
	for seed := range t.traces {
		p.Go(func() (err error) {
			var policies []Policy
			for _, name := range names() {
				policies = append(policies, NewPolicy(name, s))
			}
			t.traces[seed], err = Run(NewWorkload(kind, s, length, uint64(seed)), policies)
			return err
		})
	}
	return t, p.Wait()
}

func (t trial) rows() []measure.Row {
	var rows []measure.Row
	for i, name := range names() {
		skews := t.collect(i, func(tr Trace, step int) float64 { return tr.Skews[step] })
		rows = append(rows,
			measure.NoTarget(t.name("skew.p50", name), quantile(skews, 0.50), "ratio"),
			measure.NoTarget(t.name("skew.p95", name), quantile(skews, 0.95), "ratio"),
			measure.NoTarget(t.name("skew.max", name), quantile(skews, 1), "ratio"),
			measure.NoTarget(t.name("rebalance.bytes", name), t.bytes(i)/t.removed(i)/1e6, "MB/skew"),
			measure.NoTarget(t.name("rebalance.stall", name), t.stall(i)/t.removed(i), "ms/skew"),
		)
	}
	return append(rows, t.judged()...)
}

// judged returns the rows with targets.
func (t trial) judged() []measure.Row {
	last := len(names()) - 1
	over := t.collect(last, func(tr Trace, step int) float64 { return tr.Skews[step] / tr.Bounds[step] })
	full := slices.Index(names(), Full)
	target := slowTarget
	if t.kind == News {
		target = newsTarget
	}
	rows := []measure.Row{
		measure.AtMost(t.name("skew.p95", "bound"), quantile(over, 0.95), "x bound", target),
		measure.AtMost(t.name("rebalance.bytes", "part"), t.bytes(last)/t.bytes(full), "of full", bytesTarget),
		measure.AtLeast(t.name("rebalance.gain", "part"), t.removed(last)/t.removed(full), "of full", gainTarget),
	}
	switch t.kind {
	case News:
		horizon := float64(expert.Defaults().Horizon)
		rows = append(rows, measure.AtMost(t.name("rebalance.reaction", Planner), t.reaction(last), "steps", horizon))
	case Noise:
		rows = append(rows, measure.AtMost(t.name("rebalance.idle", Planner), t.idle(last), "loads/run", 0))
	}
	return rows
}

func (t trial) name(row, policy string) string {
	return fmt.Sprintf("%s.%s.%d.%s", row, t.kind, t.shape.Ranks, policy)
}

// collect returns a value of every counted step of all seeds, in ascending order.
func (t trial) collect(policy int, value func(Trace, int) float64) []float64 {
	var all []float64
	for _, traces := range t.traces {
		for step := warm; step < length; step++ {
			if t.counts(step) {
				all = append(all, value(traces[policy], step))
			}
		}
	}
	slices.Sort(all)
	return all
}

// counts says whether one horizon has passed since news last broke.
func (t trial) counts(step int) bool {
	if t.kind != News {
		return true
	}
	for _, at := range t.breaks {
		if step >= int(at) && step < int(at)+expert.Defaults().Horizon {
			return false
		}
	}
	return true
}

// bytes returns the bytes that a policy loads in all runs.
func (t trial) bytes(policy int) float64 {
	sum := 0
	for _, traces := range t.traces {
		for _, n := range traces[policy].Loads {
			sum += n
		}
	}
	return float64(sum) * weight
}

// stall returns the ms of step time that the loads cost by the planner's own assumption.
func (t trial) stall(policy int) float64 {
	return t.bytes(policy) / rate * 1000 * expert.Defaults().Stall
}

// removed returns the skew that a policy takes from all steps, compared with the first map for ever.
func (t trial) removed(policy int) float64 {
	sum := 0.0
	for _, traces := range t.traces {
		for step, skew := range traces[0].Skews {
			sum += skew - traces[policy].Skews[step]
		}
	}
	return max(sum, 1e-9)
}

// reaction returns the most steps from a break of news to the last step of the next horizon above the target.
func (t trial) reaction(policy int) float64 {
	most := 0
	for _, traces := range t.traces {
		for _, at := range t.breaks {
			for i := range expert.Defaults().Horizon {
				step := int(at) + i
				if traces[policy].Skews[step] > newsTarget*traces[policy].Bounds[step] {
					most = max(most, i+1)
				}
			}
		}
	}
	return float64(most)
}

// idle returns the loads of a run after its first horizon.
func (t trial) idle(policy int) float64 {
	sum := 0
	for _, traces := range t.traces {
		for _, n := range traces[policy].Loads[expert.Defaults().Horizon:] {
			sum += n
		}
	}
	return float64(sum) / seeds
}

// quantile returns the value below which the part of the ascending values lies.
func quantile(ascending []float64, part float64) float64 {
	return ascending[min(int(part*float64(len(ascending))), len(ascending)-1)]
}
