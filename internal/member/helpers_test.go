package member_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaypick/internal/spread"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// soon is how long a ticket may take to be in force everywhere.
const soon = 5 * clock.Second

// warm starts a world in which ticket 1 is in force everywhere.
func warm(t *testing.T, count, zones, replicas int) *spread.World {
	t.Helper()
	w := spread.NewWorld(count, zones, replicas)
	w.Service.Publish(1, share(1, "ana", 1))
	requireForce(t, w, 10*clock.Second, 1)
	w.Run(3 * clock.Second)
	return w
}

// requireWithin lets the time pass until a condition holds, at most for a limit, and returns how long that took.
func requireWithin(t *testing.T, w *spread.World, limit clock.Span, holds func() bool) clock.Span {
	t.Helper()
	took, ok := w.RunUntil(limit, holds)
	if !ok {
		require.Failf(t, "too late", "not within %d ms; numbers %v", limit, numbers(w))
	}
	return took
}

// requireForce lets the time pass until a number is in force on all members, or on those given.
func requireForce(t *testing.T, w *spread.World, limit clock.Span, n ticket.Number, only ...int) clock.Span {
	t.Helper()
	return requireWithin(t, w, limit, func() bool { return inForce(w, n, only...) })
}

func numbers(w *spread.World) (all []ticket.Number) {
	for _, m := range w.Members {
		all = append(all, m.State().Number)
	}
	return all
}

// inForce tells whether a number is in force on all members, or on those given.
func inForce(w *spread.World, n ticket.Number, only ...int) bool {
	for i, number := range numbers(w) {
		if number != n && (len(only) == 0 || slices.Contains(only, i)) {
			return false
		}
	}
	return true
}

// requireAgreed checks that no member has reverted and that all hold the same state and list.
func requireAgreed(t require.TestingT, w *spread.World) {
	require.Zero(t, w.Reverts)
	first := w.Members[0]
	for n, m := range w.Members {
		require.Equal(t, first.State().Hash, m.State().Hash, "member %d", n)
		require.Equal(t, first.State().Objects, m.State().Objects, "member %d", n)
		require.Equal(t, first.List(), m.List(), "member %d", n)
	}
}

// requireConflict checks that every member reports two contents under a number.
func requireConflict(t *testing.T, w *spread.World, n ticket.Number) {
	t.Helper()
	for i, m := range w.Members {
		conflicts := m.Book().Conflicts(w.Now)
		require.Len(t, conflicts, 1, "member %d", i)
		require.Equal(t, n, conflicts[0].Number)
		require.Len(t, conflicts[0].Lost, 1)
	}
}

// share returns a ticket that gives the desk a share.
func share(n ticket.Number, author string, share float64) []byte {
	content, err := json.Marshal(ticket.Ticket{Number: n, Author: author, Objects: ticket.Objects{
		Teams: map[string]*ticket.Team{"desk": {Share: share}, fmt.Sprint("team", n): {Share: 1}},
	}})
	if err != nil {
		panic(err)
	}
	return content
}
