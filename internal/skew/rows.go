package skew

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/internal/measure"
	"carawaypick/pkg/expert"
)

// Parameters of the simulation.
const (
	seedCount   = 8
	runSteps    = 1000 // steps per run
	warmupSteps = 20   // steps at the start of a run, under the initial map, that aren't counted
	workers     = 3    // concurrent runs
)

// Targets of the rows, as ratios.
const (
	skewTarget       = 1.05 // of skew to its lower bound, for all kinds but Burst
	burstSkewTarget  = 1.15 // of skew to its lower bound, for Burst
	bytesShareTarget = 0.25 // of loaded bytes to those of full replans
	gainShareTarget  = 0.95 // of removed skew to that of full replans
)

// trial contains the traces of one kind of drift on one shape, by seed and policy.
type trial struct {
	kind       string
	shape      expert.Shape
	burstSteps []uint64
	traces     [][]Trace
}

func policyNames() []string {
	return []string{Static, FullReplan, PreviousPlanner, PacedPlanner, Planner}
}

func shapes() []expert.Shape {
	return []expert.Shape{
		{Ranks: 8, Slots: 10, Experts: 64, Layers: 4},
		{Ranks: 32, Slots: 4, Experts: 64, Layers: 4},
	}
}

// Rows runs all workloads under all policies and returns their rows; it writes a plot of each workload to folder.
func Rows(folder string) (rows []measure.Row, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "measure skew")
		}
	}()
	for _, s := range shapes() {
		for _, kind := range []string{SlowDrift, Burst, DailyCycle, SamplingNoise} {
			t, err := runTrial(kind, s)
			if err != nil {
				return nil, err
			}
			rows = append(rows, t.rows()...)
			if err := t.writePlot(folder); err != nil {
				return nil, err
			}
		}
	}
	return rows, nil
}

func runTrial(kind string, s expert.Shape) (trial, error) {
	t := trial{kind: kind, shape: s, traces: make([][]Trace, seedCount)}
	t.burstSteps = NewWorkload(kind, s, runSteps, 0).BurstSteps
	p := pool.New().WithErrors().WithMaxGoroutines(workers)
	for seed := range t.traces {
		p.Go(func() (err error) {
			var policies []Policy
			for _, name := range policyNames() {
				policies = append(policies, NewPolicy(name, s))
			}
			t.traces[seed], err = Run(NewWorkload(kind, s, runSteps, uint64(seed)), policies)
			return err
		})
	}
	return t, p.Wait()
}

func (t trial) rows() []measure.Row {
	var rows []measure.Row
	for i, name := range policyNames() {
		skews := t.collect(i, func(tr Trace, step int) float64 { return tr.Skews[step] })
		rows = append(rows,
			measure.NoTarget(t.rowName("skew.p50", name), quantile(skews, 0.50), "ratio"),
			measure.NoTarget(t.rowName("skew.p95", name), quantile(skews, 0.95), "ratio"),
			measure.NoTarget(t.rowName("skew.max", name), quantile(skews, 1), "ratio"),
			measure.NoTarget(t.rowName("rebalance.bytes", name), t.loadedBytes(i)/t.removedSkew(i)/1e6, "MB/skew"),
			measure.NoTarget(t.rowName("rebalance.stall", name), t.stallMs(i)/t.removedSkew(i), "ms/skew"),
		)
	}
	return append(rows, t.targetRows()...)
}

// targetRows returns the rows with targets, which apply to the last policy, the planner.
func (t trial) targetRows() []measure.Row {
	last := len(policyNames()) - 1
	ratios := t.collect(last, func(tr Trace, step int) float64 { return tr.Skews[step] / tr.Bounds[step] })
	full := slices.Index(policyNames(), FullReplan)
	target := skewTarget
	if t.kind == Burst {
		target = burstSkewTarget
	}
	rows := []measure.Row{
		measure.AtMost(t.rowName("skew.p95", "bound"), quantile(ratios, 0.95), "x bound", target),
		measure.AtMost(t.rowName("rebalance.bytes", "part"), t.loadedBytes(last)/t.loadedBytes(full), "of full", bytesShareTarget),
		measure.AtLeast(t.rowName("rebalance.gain", "part"), t.removedSkew(last)/t.removedSkew(full), "of full", gainShareTarget),
	}
	switch t.kind {
	case Burst:
		horizon := float64(expert.DefaultSettings().HorizonSteps)
		rows = append(rows, measure.AtMost(t.rowName("rebalance.reaction", Planner), t.reactionSteps(last), "steps", horizon))
	case SamplingNoise:
		rows = append(rows, measure.AtMost(t.rowName("rebalance.idle", Planner), t.loadsAfterHorizon(last), "loads/run", 0))
	}
	return rows
}

func (t trial) rowName(row, policy string) string {
	return fmt.Sprintf("%s.%s.%d.%s", row, t.kind, t.shape.Ranks, policy)
}

// collect returns the value of every counted step of one policy over all seeds, in ascending order.
func (t trial) collect(policy int, value func(Trace, int) float64) []float64 {
	var all []float64
	for _, traces := range t.traces {
		for step := warmupSteps; step < runSteps; step++ {
			if t.counted(step) {
				all = append(all, value(traces[policy], step))
			}
		}
	}
	slices.Sort(all)
	return all
}

// counted reports whether a step counts: those within one horizon after a burst don't.
func (t trial) counted(step int) bool {
	if t.kind != Burst {
		return true
	}
	for _, at := range t.burstSteps {
		if step >= int(at) && step < int(at)+expert.DefaultSettings().HorizonSteps {
			return false
		}
	}
	return true
}

// loadedBytes returns the bytes that a policy loads over all runs.
func (t trial) loadedBytes(policy int) float64 {
	sum := 0
	for _, traces := range t.traces {
		for _, n := range traces[policy].Loads {
			sum += n
		}
	}
	return float64(sum) * expertBytes
}

// stallMs returns the additional step time in ms that a policy's loads cause, estimated with the planner's stall factor.
func (t trial) stallMs(policy int) float64 {
	return t.loadedBytes(policy) / storeBytesPerSecond * 1000 * expert.DefaultSettings().StallFactor
}

// removedSkew returns the sum over all steps of the skew that a policy removes, compared with the initial map; it is positive, so
// that other figures can be divided by it.
func (t trial) removedSkew(policy int) float64 {
	sum := 0.0
	for _, traces := range t.traces {
		for step, skew := range traces[0].Skews {
			sum += skew - traces[policy].Skews[step]
		}
	}
	return max(sum, 1e-9)
}

// reactionSteps returns the highest number of steps from a burst to the last step above the target within one horizon.
func (t trial) reactionSteps(policy int) float64 {
	highest := 0
	for _, traces := range t.traces {
		for _, at := range t.burstSteps {
			for i := range expert.DefaultSettings().HorizonSteps {
				step := int(at) + i
				if traces[policy].Skews[step] > burstSkewTarget*traces[policy].Bounds[step] {
					highest = max(highest, i+1)
				}
			}
		}
	}
	return float64(highest)
}

// loadsAfterHorizon returns the mean number of expert loads per run after the first horizon.
func (t trial) loadsAfterHorizon(policy int) float64 {
	sum := 0
	for _, traces := range t.traces {
		for _, n := range traces[policy].Loads[expert.DefaultSettings().HorizonSteps:] {
			sum += n
		}
	}
	return float64(sum) / seedCount
}

// quantile returns the value below which the given fraction of the ascending values lies.
func quantile(ascending []float64, fraction float64) float64 {
	return ascending[min(int(fraction*float64(len(ascending))), len(ascending)-1)]
}
