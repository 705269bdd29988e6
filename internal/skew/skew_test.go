package skew

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/expert"
)

func tiny() expert.Shape {
	return expert.Shape{Ranks: 4, Slots: 3, Experts: 8, Layers: 2}
}

func assertRun(t *testing.T, kind string, names ...string) []Trace {
	var policies []Policy
	for _, name := range names {
		policies = append(policies, NewPolicy(name, tiny()))
	}
	traces, err := Run(NewWorkload(kind, tiny(), 40, 1), policies)
	require.NoError(t, err)
	return traces
}

func TestReplan(t *testing.T) {
	s := tiny()
	m := expert.Map{Replan(s, []float64{0.5, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05})}
	s.Layers = 1
	require.NoError(t, m.Check(s))
	assert.InDelta(t, 1, expert.LayerSkew(m[0], []float64{0.5, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05}), 0.25)
}

func TestRun(t *testing.T) {
	for _, kind := range []string{Season, News, Day, Noise} {
		t.Run(kind+" is the same each time", func(t *testing.T) {
			assert.Equal(t, assertRun(t, kind, Planner), assertRun(t, kind, Planner))
		})
	}
	t.Run("the planner beats the first map with fewer loads than full replans", func(t *testing.T) {
		traces := assertRun(t, Season, Never, Full, Planner)
		found := trial{kind: Season, traces: [][]Trace{traces}}
		assert.Positive(t, found.removed(2))
		assert.Less(t, found.bytes(2), found.bytes(1))
		assert.Zero(t, found.bytes(0))
	})
	t.Run("no policy goes below the bound", func(t *testing.T) {
		for _, trace := range assertRun(t, News, Never, Full, Planner) {
			for step, skew := range trace.Skews {
				assert.GreaterOrEqual(t, skew, trace.Bounds[step]-1e-6)
			}
		}
	})
}
