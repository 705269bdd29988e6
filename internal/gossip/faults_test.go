package gossip_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/testkit"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const memberCount = 8

// faults contains functions that each inject one fault into a member, the network or the platform.
var faults = map[string]func(w *clustersim.Cluster, member int){
	"outage": func(w *clustersim.Cluster, _ int) { w.Platform.Down = true },
	"away":   func(w *clustersim.Cluster, member int) { w.Platform.Unreachable[member] = true },
	"pause":  func(w *clustersim.Cluster, member int) { w.Paused[member] = true },
	// A member that dies is replaced by one without state.
	"death": func(w *clustersim.Cluster, member int) { w.StartMember(member, w.Platform.List.Instances[member]) },
	"split": func(w *clustersim.Cluster, member int) {
		w.DropsCall = func(from, to int) bool { return (from < member) != (to < member) }
	},
	"isolate": func(w *clustersim.Cluster, member int) {
		w.DropsCall = func(from, to int) bool { return from == member || to == member }
	},
	"loss": func(w *clustersim.Cluster, _ int) {
		w.DropsCall = func(int, int) bool { return w.Random.Float64() < 0.5 }
	},
}

// heal ends all faults that last.
func heal(w *clustersim.Cluster) {
	w.Platform.Down = false
	clear(w.Platform.Unreachable)
	clear(w.Paused)
	w.DropsCall = func(int, int) bool { return false }
}

// publishRandom publishes the next ticket on all replicas, on one, or as conflicting contents on two.
func publishRandom(t *rapid.T, w *clustersim.Cluster, n ticket.Number) {
	switch rapid.SampledFrom([]string{"all", "one", "conflicting"}).Draw(t, "publish") {
	case "all":
		w.Platform.Publish(n, shareTicket(n, "ana", float64(n)))
	case "one":
		w.Platform.Publish(n, shareTicket(n, "ana", float64(n)), rapid.IntRange(0, 1).Draw(t, "stale"))
	case "conflicting":
		w.Platform.Publish(n, shareTicket(n, "ana", float64(n)), 0)
		w.Platform.Publish(n, shareTicket(n, "eva", float64(n)+0.5), 1)
	}
}

func TestCombinedFaults(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		w := clustersim.NewCluster(memberCount, 2, 2)
		names := slices.Sorted(maps.Keys(faults))
		last := ticket.Number(rapid.IntRange(2, 6).Draw(t, "tickets"))
		for n := ticket.Number(1); n <= last; n++ {
			publishRandom(t, w, n)
			for i := range rapid.IntRange(0, 2).Draw(t, "faults") {
				name := rapid.SampledFrom(names).Draw(t, fmt.Sprint("fault", i))
				faults[name](w, rapid.IntRange(0, memberCount-1).Draw(t, "member"))
			}
			w.Run(clock.Span(rapid.IntRange(0, 8000).Draw(t, "ms")))
			if rapid.Bool().Draw(t, "heal") {
				heal(w)
			}
		}
		heal(w)
		took, ok := w.RunUntil(20*clock.Second, func() bool { return isApplied(w, last) })
		require.True(t, ok, "active numbers %v after %d ms", numbers(w), took)
		w.Run(40 * clock.Second) // long enough for an audit to find contents that only the other replica has
		requireConverged(t, w)
	})
}
