package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// TestInitialMapCost guards against a limit that stays low for many seconds after a cold start, because requests were dear
// under the experts' initial map.
func TestInitialMapCost(t *testing.T) {
	limiter := func() *ConcurrencyLimiter {
		return &ConcurrencyLimiter{BasePassMs: 20, PriorCostMs: 5, GapTarget: 150}
	}
	const gap, running, slots = 140, 6, 10
	t.Run("the cost under the initial map counts while it is in use", func(t *testing.T) {
		l := limiter()
		l.InitialUntil = 4000
		l.ObserveMeanGap(1000, gap, running, slots)
		assert.InDelta(t, (gap-l.fixedTime())/running, l.RequestCost(2000), 1e-9)
	})
	t.Run("a part of it counts afterwards", func(t *testing.T) {
		l := limiter()
		l.InitialUntil = 4000
		l.ObserveMeanGap(1000, gap, running, slots)
		assert.InDelta(t, plannedFraction*(gap-l.fixedTime())/running, l.RequestCost(4000), 1e-9)
	})
	t.Run("a later cost replaces it", func(t *testing.T) {
		l := limiter()
		l.InitialUntil = 4000
		l.ObserveMeanGap(1000, gap, running, slots)
		l.ObserveMeanGap(5000, gap, running, slots)
		assert.InDelta(t, (gap-l.fixedTime())/running, l.RequestCost(5000), 1e-9)
		assert.Less(t, l.RequestCost(clock.Time(5000).Add(peakCostHalfLife)), plannedFraction*(gap-l.fixedTime())/running)
	})
	t.Run("without an initial map costs are kept", func(t *testing.T) {
		l := limiter()
		l.ObserveMeanGap(1000, gap, running, slots)
		assert.InDelta(t, (gap-l.fixedTime())/running, l.RequestCost(1000), 1e-9)
	})
}
