package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// TestSubsetBalance checks size, distinctness and that each agent gets the same number of entries to within one.
func TestSubsetBalance(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		entries := names("entry", rapid.IntRange(1, 40).Draw(t, "entries"))
		agents := names("agent", rapid.IntRange(1, 120).Draw(t, "agents"))
		size := rapid.IntRange(1, 60).Draw(t, "size")
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		counts := map[string]int{}
		for _, entry := range entries {
			subset := Subset(entry, entries, agents, size)
			require.Len(t, subset, min(size, len(agents)))
			require.ElementsMatch(t, subset, Subset(entry, entries, shuffled, size))
			for _, agent := range subset {
				counts[agent]++
			}
		}
		least, most := len(entries), 0
		for _, agent := range agents {
			least, most = min(least, counts[agent]), max(most, counts[agent])
		}
		require.LessOrEqual(t, most-least, 1)
	})
}

// TestSubsetChurn checks that one entry more moves each subset by at most as many agents as its places are apart.
func TestSubsetChurn(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		entries := names("entry", rapid.IntRange(2, 40).Draw(t, "entries"))
		agents := names("agent", rapid.IntRange(50, 200).Draw(t, "agents"))
		const size = 30
		for _, entry := range entries {
			before := Subset(entry, entries, agents, size)
			after := Subset(entry, append(slices.Clone(entries), "newcomer"), agents, size)
			kept := 0
			for _, agent := range before {
				if slices.Contains(after, agent) {
					kept++
				}
			}
			require.GreaterOrEqual(t, kept, size-len(agents)/len(entries)-2)
		}
	})
}

func TestSubset(t *testing.T) {
	agents := names("agent", 16)
	t.Run("knows all agents where they are few", func(t *testing.T) {
		assert.ElementsMatch(t, agents, Subset("a", []string{"a", "b"}, agents, 320))
	})
	t.Run("serves an entry that the list does not know yet", func(t *testing.T) {
		assert.Len(t, Subset("c", []string{"a", "b"}, agents, 4), 4)
	})
	t.Run("is empty without agents", func(t *testing.T) {
		assert.Empty(t, Subset("a", []string{"a"}, nil, 4))
	})
}
