package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClock(t *testing.T) {
	t.Run("starts at zero and never goes back", func(t *testing.T) {
		c := New()
		first := c.Now()
		assert.GreaterOrEqual(t, first, Time(0))
		assert.GreaterOrEqual(t, c.Now(), first)
	})
	t.Run("counts in milliseconds", func(t *testing.T) {
		now := Time(1500)
		c := Manual(&now)
		start := c.Now()
		now = now.Add(2 * Second)
		assert.Equal(t, 2*Second, c.Since(start))
		assert.Equal(t, 2*time.Second, c.Since(start).Duration())
	})
	t.Run("a stopwatch never goes back", func(t *testing.T) {
		passed := Stopwatch()
		first := passed()
		assert.GreaterOrEqual(t, first, time.Duration(0))
		assert.GreaterOrEqual(t, passed(), first)
	})
}
