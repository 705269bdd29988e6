package gateway

import (
	"fmt"
	"testing"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// BenchmarkChoose measures the choice of a server with and without coordinated admission, as it is made for each request
// with the lock of the tracker held.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{72, 400} {
		for _, group := range []string{"", "g"} {
			for _, coordinated := range []bool{false, true} {
				b.Run(fmt.Sprintf("%d/group=%s/coordinated=%t", count, group, coordinated), func(b *testing.B) {
					now, v := clock.Time(1), plainView(count)
					for _, s := range v.Servers {
						s.Group = group
					}
					t := newTestTracker(&now, v, "e0", 36)
					t.Coordinated = func() bool { return coordinated }
					servers := v.Services["s"]
					for i, s := range servers {
						if group == "" {
							t.serverLoad(s.ID).capacityOf(s).Observe(now, balance.CapacitySample{Concurrency: 1, Time: float64(30 + i%7), Answered: 1}, s.Slots)
						}
					}
					b.ReportAllocs()
					for b.Loop() {
						i, _, _ := t.Choose(servers, routing.Service{Name: "s"}, nil, "a")
						t.End(servers[i].ID, balance.Success)
					}
				})
			}
		}
	}
}
