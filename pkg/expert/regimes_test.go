package expert

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func regimeShape() Shape {
	return Shape{Ranks: 8, Slots: 4, Experts: 24, Layers: 2}
}

// topicReport returns a report of a topic that is popular at every fourth expert from the topic's number on.
func topicReport(step uint64, topic int) Report {
	counts := make([]int64, regimeShape().Experts)
	for e := range counts {
		counts[e] = 1000
		if e%4 == topic {
			counts[e] = 9000
		}
	}
	return newReport(regimeShape(), step, counts...)
}

func regimeSettings(limit int) Settings {
	s := DefaultSettings()
	s.MaxRegimes = limit
	return s
}

// playTopics passes reports of the topics to the planner, each for several steps, and returns the next step and the plans.
func playTopics(t *testing.T, p *Planner, step uint64, topics ...int) (next uint64, plans []Plan) {
	for _, topic := range topics {
		for range 8 {
			plans = append(plans, assertNext(t, p, topicReport(step, topic)))
			step++
		}
	}
	return step, plans
}

func TestRegimes(t *testing.T) {
	t.Run("a map keeps places for a regime that may return", func(t *testing.T) {
		skewAtReturn := func(limit int) float64 {
			p := NewPlanner(regimeSettings(limit))
			step, _ := playTopics(t, p, 0, 0, 1, 0, 1)
			return Skew(p.current, topicReport(step, 0).Layers)
		}
		assert.Less(t, skewAtReturn(4), skewAtReturn(0))
	})
	t.Run("a returning regime is planned on its remembered shares from its first report", func(t *testing.T) {
		p := NewPlanner(regimeSettings(4))
		step, _ := playTopics(t, p, 0, 0, 1)
		require.NoError(t, p.Observe(topicReport(step, 0)))
		shares, _ := p.estimates[0].best()
		known := Shares(topicReport(step, 0).Layers[0])
		assert.InDeltaSlice(t, known, p.regimes.presentShares(0, shares), 1e-9)
		assert.Greater(t, math.Abs(known[0]-shares[0]), 1e-3, "the estimate has not forgotten the regime before")
	})
	t.Run("memory and the cases of a search are bounded", func(t *testing.T) {
		p := NewPlanner(regimeSettings(12))
		for step := range uint64(300) {
			r := newReport(regimeShape(), step)
			draw := rand.New(rand.NewPCG(step/6, 3))
			for l := range r.Layers {
				for e := range r.Layers[l] {
					r.Layers[l][e] = int64(1000 * math.Exp(2*draw.NormFloat64()))
				}
			}
			require.NoError(t, p.Observe(r))
			assert.LessOrEqual(t, len(p.regimes.known), 12)
			assert.LessOrEqual(t, len(p.regimes.returning(0, p.current[0])), maxCases)
		}
		assert.Len(t, p.regimes.returning(0, p.current[0]), maxCases)
	})
	t.Run("invalid, empty, repeated and tiny reports and a single odd one change no case", func(t *testing.T) {
		p := NewPlanner(regimeSettings(4))
		step, _ := playTopics(t, p, 0, 0, 1)
		require.NoError(t, p.Observe(topicReport(step, 0)))
		before := p.regimes.returning(0, p.current[0])
		require.Len(t, before, 1)
		assert.Error(t, p.Observe(newReport(regimeShape(), step+1, -1)))
		require.NoError(t, p.Observe(topicReport(step, 1)))
		require.NoError(t, p.Observe(evenReport(regimeShape(), step+1, 0)))
		require.NoError(t, p.Observe(newReport(regimeShape(), step+2, 1<<40)))
		for i := range uint64(5) {
			require.NoError(t, p.Observe(newReport(regimeShape(), step+3+i, 1, 0, 1)))
		}
		require.NoError(t, p.Observe(topicReport(step+8, 0)))
		assert.Equal(t, before, p.regimes.returning(0, p.current[0]))
	})
	t.Run("a planner whose memory is switched off plans as one without", func(t *testing.T) {
		used, plain := NewPlanner(regimeSettings(4)), NewPlanner(regimeSettings(0))
		step, _ := playTopics(t, used, 0, 0, 1, 0, 1)
		playTopics(t, plain, 0, 0, 1, 0, 1)
		used.SetMaxRegimes(0)
		require.NoError(t, used.Adopt(plain.current))
		_, expected := playTopics(t, plain, step, 2, 0)
		_, plans := playTopics(t, used, step, 2, 0)
		assert.Equal(t, expected, plans)
	})
	t.Run("a planner that forgets its regimes plans as a new one", func(t *testing.T) {
		p := NewPlanner(regimeSettings(4))
		playTopics(t, p, 0, 0, 1, 0, 1)
		p.ForgetRegimes()
		assert.Empty(t, p.regimes.returning(0, p.current[0]))
	})
}
