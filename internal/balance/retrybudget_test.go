package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// TestRetryBudget checks that retries stay within ratio of the requests plus the burst, per team and in total.
func TestRetryBudget(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.25, 0.5}).Draw(t, "ratio")
		burst := rapid.Uint32Range(0, 5).Draw(t, "burst")
		b := NewRetryBudget(ratio, burst)
		earned, spent := map[string]int{}, map[string]int{}
		var allEarned, allSpent int
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			if rapid.Bool().Draw(t, "first") {
				b.Deposit(0, team)
				earned[team]++
				allEarned++
			} else if b.TryWithdraw(0, team) {
				spent[team]++
				allSpent++
			}
			require.LessOrEqual(t, float64(spent[team]), ratio*float64(earned[team])+float64(burst)+1e-6)
			require.LessOrEqual(t, float64(allSpent), ratio*float64(allEarned)+float64(burst)+1e-6)
		}
	})
}

func TestRetryBudgetMemory(t *testing.T) {
	b := NewRetryBudget(0.1, 3)
	for i := range 3 * maxAccounts {
		b.Deposit(0, fmt.Sprint(i))
	}
	t.Run("is bounded", func(t *testing.T) {
		assert.LessOrEqual(t, len(b.accounts), maxAccounts+1)
	})
	t.Run("is released by idle teams", func(t *testing.T) {
		b.Deposit(clock.Time(accountIdleTimeout), "a")
		assert.Len(t, b.accounts, 1)
	})
}
