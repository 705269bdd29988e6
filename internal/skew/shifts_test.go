package skew

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/expert"
)

func yardsShape() expert.Shape {
	return expert.Shape{Ranks: 63, Slots: 5, Experts: 252, Layers: 8}
}

func commonsShape() expert.Shape {
	return expert.Shape{Ranks: 72, Slots: 3, Experts: 144, Layers: 12}
}

// TestRegimesLowerPeaks guards against a planner that fits its maps to the present demand alone, so that each shift to a
// known regime costs as much as to an unknown one, and against one that gives up the fit to the present for it.
func TestRegimesLowerPeaks(t *testing.T) {
	shapes := map[string]expert.Shape{"63 ranks": yardsShape(), "72 ranks": commonsShape()}
	for name, s := range shapes {
		for seed := range uint64(2) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				policies := ShiftPolicies(s)
				run := func(p ShiftPolicy) ShiftResult {
					result, err := RunShifts(s, p, 24, seed)
					require.NoError(t, err)
					return result
				}
				before, after := run(policies[0]), run(policies[3])
				assert.Less(t, after.MeanPeak(), before.MeanPeak())
				assert.LessOrEqual(t, after.Mean, 1.05*before.Mean)
			})
		}
	}
}

// TestShiftTable prints the figures of docs/design/maps.md.
func TestShiftTable(t *testing.T) {
	if os.Getenv("SHIFT_TABLE") == "" {
		t.Skip("SHIFT_TABLE is not set")
	}
	for _, s := range []expert.Shape{yardsShape(), commonsShape()} {
		for _, policy := range ShiftPolicies(s) {
			t.Run(policy.Name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					r, err := RunShifts(s, policy, 60, seed)
					require.NoError(t, err)
					t.Logf("%d ranks, %s, seed %d: mean %.3f, peaks: mean %.3f p90 %.3f worst %.3f; %d switches",
						s.Ranks, policy.Name, seed, r.Mean, r.MeanPeak(), quantile(r.Peaks, 0.9), quantile(r.Peaks, 1), r.Switches)
				}
			})
		}
	}
}
