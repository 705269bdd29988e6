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
