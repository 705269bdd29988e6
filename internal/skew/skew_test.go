package skew

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/expert"
)

func smallShape() expert.Shape {
	return expert.Shape{Ranks: 4, Slots: 3, Experts: 8, Layers: 2}
}

func mustRun(t *testing.T, kind string, names ...string) []Trace {
	var policies []Policy
	for _, name := range names {
		policies = append(policies, NewPolicy(name, smallShape()))
	}
	traces, err := Run(NewWorkload(kind, smallShape(), 40, 1), policies)
	require.NoError(t, err)
	return traces
}

func TestReplan(t *testing.T) {
	s := smallShape()
	m := expert.Map{Replan(s, []float64{0.5, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05})}
	s.Layers = 1
	require.NoError(t, m.Check(s))
	assert.InDelta(t, 1, expert.LayerSkew(m[0], []float64{0.5, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05}), 0.25)
}

func TestRun(t *testing.T) {
	for _, kind := range []string{SlowDrift, Burst, DailyCycle, SamplingNoise} {
		t.Run(kind+" is deterministic", func(t *testing.T) {
			assert.Equal(t, mustRun(t, kind, Planner), mustRun(t, kind, Planner))
		})
	}
	t.Run("the planner beats the initial map with fewer loads than full replans", func(t *testing.T) {
		traces := mustRun(t, SlowDrift, Static, FullReplan, Planner)
		result := trial{kind: SlowDrift, traces: [][]Trace{traces}}
		assert.Positive(t, result.removedSkew(2))
		assert.Less(t, result.loadedBytes(2), result.loadedBytes(1))
		assert.Zero(t, result.loadedBytes(0))
	})
	t.Run("no policy goes below the bound", func(t *testing.T) {
		for _, trace := range mustRun(t, Burst, Static, FullReplan, Planner) {
			for step, skew := range trace.Skews {
				assert.GreaterOrEqual(t, skew, trace.Bounds[step]-1e-6)
			}
		}
	})
}
