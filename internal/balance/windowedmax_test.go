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

// TestKeptPeakOfRequestCost guards against a limit that rises again before the demand for experts shifts back.
func TestKeptPeakOfRequestCost(t *testing.T) {
	l := ConcurrencyLimiter{BasePassMs: 29, PriorCostMs: 2.2, GapTarget: 120}
	l.ObserveMeanGap(1000, 125, 8, 12)
	peak := l.RequestCost(1000)
	assert.Less(t, l.RequestCost(31_000), peak/2, "it decays")
	l.KeepPeak = true
	l.ObserveMeanGap(20_000, 80, 8, 12)
	assert.InDelta(t, peak, l.RequestCost(36_000), 1e-9)
	assert.Less(t, l.RequestCost(50_000), peak)
}
