package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOrderEntries(t *testing.T) {
	entries := []Entry{
		{Name: "a", Zone: "one", Address: "127.0.0.1:1"},
		{Name: "b", Zone: "one", Address: "127.0.0.1:2"},
		{Name: "c", Zone: "two", Address: "127.0.0.1:3"},
		{Name: "d", Zone: "two", Address: "127.0.0.1:4", Draining: true},
		{Name: "e", Zone: "three", Address: "127.0.0.1:5"},
	}
	t.Run("own zone first, without draining entries and evacuated zones", func(t *testing.T) {
		got := OrderEntries("one", entries, []string{"three"}, 7)
		require.Len(t, got, 3)
		assert.ElementsMatch(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, got[:2])
		assert.Equal(t, "127.0.0.1:3", got[2])
	})
	t.Run("spreads callers among equals", func(t *testing.T) {
		first := map[string]int{}
		for callerHash := range uint64(1000) {
			first[OrderEntries("one", entries, nil, callerHash)[0]]++
		}
		assert.Len(t, first, 2)
		assert.Greater(t, first["127.0.0.1:1"], 400)
		assert.Greater(t, first["127.0.0.1:2"], 400)
	})
}
