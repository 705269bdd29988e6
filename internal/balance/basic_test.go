package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func requireRefused(t *testing.T, err error, reason string) {
	t.Helper()
	var r *RefusedError
	require.ErrorAs(t, err, &r)
	assert.Equal(t, reason, r.Reason)
	assert.GreaterOrEqual(t, r.After, leastAfter)
}

func TestAdmit(t *testing.T) {
	good := Standing{Tokens: 500, Rate: 1000, Window: 4}
	t.Run("takes what can be served in time", func(t *testing.T) {
		assert.NoError(t, Admit(0, Work{Tokens: 100, Deadline: 700}, good))
	})
	t.Run("takes work without a deadline", func(t *testing.T) {
		assert.NoError(t, Admit(0, Work{Tokens: 100}, good))
	})
	cases := []struct {
		reason string
		work   Work
		change func(*Standing)
	}{
		{reason: ReasonLate, work: Work{Tokens: 100, Deadline: 600}, change: func(*Standing) {}},
		{reason: ReasonLeaving, change: func(s *Standing) { s.Leaving = true }},
		{reason: ReasonOut, change: func(s *Standing) { s.Out = true }},
		{reason: ReasonDown, change: func(s *Standing) { s.Down = true }},
		{reason: ReasonDown, change: func(s *Standing) { s.Window = 0 }},
		{reason: ReasonCondemned, work: Work{Condemned: clock.Second}, change: func(*Standing) {}},
	}
	for _, c := range cases {
		t.Run("refuses as "+c.reason, func(t *testing.T) {
			s := good
			c.change(&s)
			requireRefused(t, Admit(0, c.work, s), c.reason)
		})
	}
}

func TestOrder(t *testing.T) {
	entries := []Entry{
		{Name: "a", Zone: "one", Address: "127.0.0.1:1"},
		{Name: "b", Zone: "one", Address: "127.0.0.1:2"},
		{Name: "c", Zone: "two", Address: "127.0.0.1:3"},
		{Name: "d", Zone: "two", Address: "127.0.0.1:4", Leaving: true},
		{Name: "e", Zone: "three", Address: "127.0.0.1:5"},
	}
	t.Run("own zone first, without leaving entries and zones that are out", func(t *testing.T) {
		got := Order("one", entries, []string{"three"}, 7)
		require.Len(t, got, 3)
		assert.ElementsMatch(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, got[:2])
		assert.Equal(t, "127.0.0.1:3", got[2])
	})
	t.Run("spreads askers among equals", func(t *testing.T) {
		first := map[string]int{}
		for asker := range uint64(1000) {
			first[Order("one", entries, nil, asker)[0]]++
		}
		assert.Len(t, first, 2)
		assert.Greater(t, first["127.0.0.1:1"], 400)
		assert.Greater(t, first["127.0.0.1:2"], 400)
	})
}
