package overload

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const tolerance = 1e-6 // relative, of sums of floats

// assertMaxMin asserts the max-min properties: nobody gets more than it asks, the sum fits into room, none of it stays unused
// while somebody asks for more, and who asks for more has at least as much per weight as any other.
func assertMaxMin(t assert.TestingT, room float64, demand, weight, fractions map[string]float64) {
	sum, unmet := 0.0, false
	for team, d := range demand {
		f := fractions[team]
		if !assert.True(t, f >= 0 && f <= 1, "fraction %v of %s", f, team) {
			return
		}
		sum += f * d
		if f > 1-tolerance {
			continue
		}
		unmet = true
		for other, o := range demand {
			assert.LessOrEqual(t, fractions[other]*o/weightOr1(weight, other), f*d/weightOr1(weight, team)*(1+tolerance)+tolerance, "%s takes from %s", other, team)
		}
	}
	assert.LessOrEqual(t, sum, room*(1+tolerance)+tolerance, "sum within room")
	if unmet {
		assert.GreaterOrEqual(t, sum, room*(1-tolerance)-tolerance, "room unused while demand is unmet")
	}
}

// Guards against a team that gets more than it asks for, or more than one that lacks capacity.
func TestFairFractions(t *testing.T) {
	t.Run("max-min properties", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			teams := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{2}"), 0, 30, rapid.ID[string]).Draw(t, "teams")
			demand, weight := map[string]float64{}, map[string]float64{}
			for _, team := range teams {
				demand[team] = rapid.Float64Range(0, 500).Draw(t, "demand")
				if rapid.Bool().Draw(t, "weighted") {
					weight[team] = rapid.Float64Range(0.01, 50).Draw(t, "weight")
				}
			}
			room := rapid.Float64Range(0, 5000).Draw(t, "room")
			assertMaxMin(t, room, demand, weight, FairFractions(room, demand, weight))
		})
	})
	t.Run("a team with little demand is served whole", func(t *testing.T) {
		f := FairFractions(100, map[string]float64{"flood": 500, "large": 60, "small": 10}, nil)
		assert.InDelta(t, 45.0/500, f["flood"], tolerance)
		assert.InDelta(t, 45.0/60, f["large"], tolerance)
		assert.Equal(t, 1.0, f["small"])
	})
	t.Run("invalid weights count as 1", func(t *testing.T) {
		demand := map[string]float64{"a": 100, "b": 100}
		for _, w := range []float64{-1, 0, 1e300, 1e-300, math.NaN(), math.Inf(1), math.Inf(-1)} {
			f := FairFractions(100, demand, map[string]float64{"a": w})
			assert.InDelta(t, 0.5, f["a"], tolerance, "weight %v", w)
			assert.InDelta(t, 0.5, f["b"], tolerance, "weight %v", w)
		}
	})
	t.Run("invalid demand and room", func(t *testing.T) {
		demand := map[string]float64{"nan": math.NaN(), "negative": -5, "infinite": math.Inf(1), "b": 10}
		f := FairFractions(20, demand, nil)
		assert.Equal(t, map[string]float64{"nan": 1, "negative": 1, "infinite": 10 / maxDemand, "b": 1}, f)
		assert.Equal(t, 0.0, FairFractions(math.NaN(), demand, nil)["b"])
		assert.Equal(t, 1.0, FairFractions(math.Inf(1), demand, nil)["b"])
	})
}
