package expert

import (
	"math/rand/v2"
	"slices"
	"testing"

	"carawaypick/pkg/clock"
)

// BenchmarkPlanLarge plans one map for a group of 72 ranks, as one planning round of a coordinator does.
func BenchmarkPlanLarge(b *testing.B) {
	benchmarkPlan(b, 0)
}

// BenchmarkPlanRegimes plans the same map with nine remembered regimes.
func BenchmarkPlanRegimes(b *testing.B) {
	benchmarkPlan(b, 9)
}

func benchmarkPlan(b *testing.B, regimes int) {
	const ranks, sets, experts, slots = 72, 12, 144, 3
	random := rand.New(rand.NewPCG(1, 2))
	r := Report{Ranks: ranks, Slots: slots, ExpertBytes: 370 << 20, BytesPerSecond: 180000 << 20 / 8}
	first := RoundRobin(Shape{Ranks: ranks, Slots: 2, Layers: sets, Experts: experts})
	padded, allExperts := PadFreeSlots(first, experts, slots)
	draw := func() (layers [][]int64) {
		for range sets {
			counts := make([]int64, allExperts)
			for e := range experts {
				counts[e] = int64(1000 * (0.2 + random.ExpFloat64()))
			}
			layers = append(layers, counts)
		}
		return layers
	}
	r.Layers = draw()
	known := regimeSet{}
	for range regimes {
		layers := draw()
		for range minRegimeReports + 1 {
			known.add(layers, 1, regimes)
		}
	}
	for b.Loop() {
		s := DefaultSettings()
		s.Decays = []float64{0.3, 0.6}
		s.StepTime = 60 * clock.Millisecond
		s.HorizonSteps = 66
		s.MinLayerGain = 0.2
		s.MinMoveGain = 0.3
		s.MaxAddedPerLayer = 2
		s.MaxAddedPerRank = 2
		s.FirstPlaceholder = experts
		p := NewPlanner(s)
		p.SetMaxRegimes(regimes)
		p.regimes = known
		p.regimes.known = slices.Clone(known.known)
		_ = p.Adopt(padded)
		r.Step++
		if plan, err := p.Next(r); err != nil || plan.Unchanged {
			b.Fatalf("no plan for skewed counts: %v", err)
		}
	}
}
