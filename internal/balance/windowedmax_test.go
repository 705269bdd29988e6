package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// TestWindowedMax guards against peaks that count for too short or too long.
func TestWindowedMax(t *testing.T) {
	m := WindowedMax{Window: 40 * clock.Second}
	assert.Zero(t, m.Max(1))
	m.Add(1000, 7)
	m.Add(1001, 3)
	m.Add(38_000, 5)
	assert.InDelta(t, 7, m.Max(39_000), 0)
	assert.InDelta(t, 5, m.Max(42_000), 0)
	assert.Zero(t, m.Max(90_000))
}
