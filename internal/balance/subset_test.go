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

// TestSubsetBalance checks the size of subsets and that the numbers of entries per agent differ by at most one.
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
		lowest, highest := len(entries), 0
		for _, agent := range agents {
			lowest, highest = min(lowest, counts[agent]), max(highest, counts[agent])
		}
		require.LessOrEqual(t, highest-lowest, 1)
	})
}

// TestSubsetChurn checks that a new entry moves each subset by at most the distance between two positions.
func TestSubsetChurn(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		entries := names("entry", rapid.IntRange(2, 40).Draw(t, "entries"))
		agents := names("agent", rapid.IntRange(50, 200).Draw(t, "agents"))
		const size = 30
		for _, entry := range entries {
			before := Subset(entry, entries, agents, size)
			after := Subset(entry, append(slices.Clone(entries), "new"), agents, size)
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
	t.Run("contains all agents if there are no more than size", func(t *testing.T) {
		assert.ElementsMatch(t, agents, Subset("a", []string{"a", "b"}, agents, 320))
	})
	t.Run("is complete for an entry that is not in the list", func(t *testing.T) {
		assert.Len(t, Subset("c", []string{"a", "b"}, agents, 4), 4)
	})
	t.Run("is empty without agents", func(t *testing.T) {
		assert.Empty(t, Subset("a", []string{"a"}, nil, 4))
	})
}
