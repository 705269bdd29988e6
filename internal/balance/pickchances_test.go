package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPickChances guards against chances that differ from how often the endpoints are picked.
func TestPickChances(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		endpoints := make([]Endpoint, r.IntN(9))
		for i := range endpoints {
			endpoints[i] = Endpoint{Slots: 2, OwnInFlight: r.IntN(3), Zone: []string{"a", "b"}[r.IntN(2)], Ejected: r.IntN(5) == 0}
		}
		const picks = 4000
		counts := make([]float64, len(endpoints))
		for range picks {
			if i := PickEndpoint(endpoints, "a", r.Uint64); i >= 0 {
				counts[i]++
			}
		}
		for i, chance := range PickChances(endpoints, "a") {
			assert.InDelta(t, chance, counts[i]/picks, 0.05)
		}
	}
}

// TestCoordinatedPickChances guards against chances that differ from how often the endpoints are picked by learned capacity or
// by work, also where loads are equal.
func TestCoordinatedPickChances(t *testing.T) {
	for name, method := range map[string]struct {
		pick    func([]Endpoint, string, func() uint64) int
		chances func([]Endpoint, string) []float64
	}{"capacity": {PickByCapacity, CapacityChances}, "work": {PickByWork, WorkChances}} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			for range 60 {
				endpoints := make([]Endpoint, r.IntN(9))
				for i := range endpoints {
					endpoints[i] = Endpoint{
						Slots: 1 + r.IntN(2), OwnInFlight: r.IntN(3), Zone: []string{"a", "b"}[r.IntN(2)], Ejected: r.IntN(5) == 0,
						Weight: float64(1 + r.IntN(3)), Load: float64(r.IntN(6)), Owned: r.IntN(3) == 0,
					}
				}
				const picks = 4000
				counts := make([]float64, len(endpoints))
				for range picks {
					if i := method.pick(endpoints, "a", r.Uint64); i >= 0 {
						counts[i]++
					}
				}
				for i, chance := range method.chances(endpoints, "a") {
					assert.InDelta(t, chance, counts[i]/picks, 0.04)
				}
			}
		})
	}
}
