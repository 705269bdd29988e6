package gossip_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// convergeTimeout is how long a ticket may take to be applied on all members.
const convergeTimeout = 5 * clock.Second

// startCluster starts a simulated cluster in which ticket 1 is applied on all members.
func startCluster(t *testing.T, count, zones, replicas int) *clustersim.Cluster {
	t.Helper()
	w := clustersim.NewCluster(count, zones, replicas)
	w.Platform.Publish(1, shareTicket(1, "ana", 1))
	requireApplied(t, w, 10*clock.Second, 1)
	w.Run(3 * clock.Second)
	return w
}

// requireWithin advances the time until a condition holds, fails after limit, and returns the time taken in ms.
func requireWithin(t *testing.T, w *clustersim.Cluster, limit clock.Span, condition func() bool) clock.Span {
	t.Helper()
	took, ok := w.RunUntil(limit, condition)
	if !ok {
		require.Failf(t, "timed out", "condition not met within %d ms; active numbers %v", limit, numbers(w))
	}
	return took
}

// requireApplied advances the time until a number is applied on all members, or on those given.
func requireApplied(t *testing.T, w *clustersim.Cluster, limit clock.Span, n ticket.Number, only ...int) clock.Span {
	t.Helper()
	return requireWithin(t, w, limit, func() bool { return isApplied(w, n, only...) })
}

func numbers(w *clustersim.Cluster) (all []ticket.Number) {
	for _, m := range w.Members {
		all = append(all, m.State().Number)
	}
	return all
}

// isApplied reports whether a number is the active one on all members, or on those given.
func isApplied(w *clustersim.Cluster, n ticket.Number, only ...int) bool {
	for i, number := range numbers(w) {
		if number != n && (len(only) == 0 || slices.Contains(only, i)) {
			return false
		}
	}
	return true
}

// requireConverged checks that no member has reverted and that all have the same state and instance list.
func requireConverged(t require.TestingT, w *clustersim.Cluster) {
	require.Zero(t, w.NumberDecreases)
	first := w.Members[0]
	for n, m := range w.Members {
		require.Equal(t, first.State().Hash, m.State().Hash, "member %d", n)
		require.Equal(t, first.State().Objects, m.State().Objects, "member %d", n)
		require.Equal(t, first.List(), m.List(), "member %d", n)
	}
}

// requireConflict checks that every member reports two contents under a number.
func requireConflict(t *testing.T, w *clustersim.Cluster, n ticket.Number) {
	t.Helper()
	for i, m := range w.Members {
		conflicts := m.Tickets().Conflicts(w.Now)
		require.Len(t, conflicts, 1, "member %d", i)
		require.Equal(t, n, conflicts[0].Number)
		require.Len(t, conflicts[0].Lost, 1)
	}
}

// shareTicket returns a ticket that sets the share of team desk.
func shareTicket(n ticket.Number, author string, share float64) []byte {
	content, err := json.Marshal(ticket.Ticket{Number: n, Author: author, Objects: ticket.Objects{
		Teams: map[string]*ticket.Team{"desk": {Share: share}, fmt.Sprint("team", n): {Share: 1}},
	}})
	if err != nil {
		panic(err)
	}
	return content
}
