package measure

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRows(t *testing.T) {
	t.Run("judge a value by its target", func(t *testing.T) {
		assert.Equal(t, Met, AtMost("a", 2, "ms", 2).Verdict)
		assert.Equal(t, Missed, AtMost("a", 2.1, "ms", 2).Verdict)
		assert.Equal(t, Met, AtLeast("a", 2, "ms", 2).Verdict)
		assert.Equal(t, Missed, AtLeast("a", 1.9, "ms", 2).Verdict)
	})
	t.Run("are written in one line each", func(t *testing.T) {
		var out strings.Builder
		require.NoError(t, Write(&out, []Row{NoTarget("a.b", 1.5, "ms"), AtMost("c", 3, "MB", 2)}))
		assert.Equal(t, "a.b  1.5  ms  -     -\nc    3    MB  <= 2  missed\n", out.String())
	})
}

func TestFit(t *testing.T) {
	t.Run("finds the line", func(t *testing.T) {
		line := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
		assert.InDelta(t, 3, line.Intercept, 1e-9)
		assert.InDelta(t, 2, line.Slope, 1e-9)
		assert.InDelta(t, 0, line.MaxError, 1e-9)
		assert.InDelta(t, 23, line.At(10), 1e-9)
	})
	t.Run("reports how far the values deviate", func(t *testing.T) {
		assert.Greater(t, Fit([]float64{1, 2, 3}, []float64{5, 9, 9}).MaxError, 0.05)
	})
}
