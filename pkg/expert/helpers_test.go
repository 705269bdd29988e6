package expert

import (
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func smallShape() Shape {
	return Shape{Ranks: 4, Slots: 3, Experts: 8, Layers: 2}
}

func newReport(s Shape, step uint64, counts ...int64) Report {
	r := Report{Step: step, Ranks: s.Ranks, Slots: s.Slots, ExpertBytes: 1000, BytesPerSecond: 1_000_000}
	for range s.Layers {
		layer := make([]int64, s.Experts)
		copy(layer, counts)
		r.Layers = append(r.Layers, layer)
	}
	return r
}

func evenReport(s Shape, step uint64, count int64) Report {
	counts := make([]int64, s.Experts)
	for e := range counts {
		counts[e] = count
	}
	return newReport(s, step, counts...)
}

func assertNext(t require.TestingT, p *Planner, r Report) Plan {
	plan, err := p.Next(r)
	require.NoError(t, err)
	if plan.Unchanged {
		return plan
	}
	require.NoError(t, plan.Map.Check(r.Shape()))
	assert.NotEmpty(t, plan.Moves)
	return plan
}

func assertUnchanged(t require.TestingT, p *Planner, r Report) {
	plan := assertNext(t, p, r)
	assert.True(t, plan.Unchanged, "step %d moves %d", r.Step, len(plan.Moves))
}

func assertFieldError(t require.TestingT, err error, field string) {
	var bad *FieldError
	require.True(t, errors.As(err, &bad), "error %v", err)
	assert.Equal(t, field, bad.Field)
}

func drawShape(t *rapid.T) Shape {
	s := Shape{Ranks: rapid.IntRange(1, 8).Draw(t, "ranks"), Slots: rapid.IntRange(1, 6).Draw(t, "slots")}
	s.Experts = rapid.IntRange(1, s.Ranks*s.Slots).Draw(t, "experts")
	s.Layers = rapid.IntRange(1, 3).Draw(t, "layers")
	return s
}

func drawReport(t *rapid.T, s Shape, step uint64) Report {
	r := newReport(s, step)
	for l := range r.Layers {
		r.Layers[l] = rapid.SliceOfN(rapid.Int64Range(0, 5000), s.Experts, s.Experts).Draw(t, "counts")
	}
	return r
}
