package overload

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCantBeOnTimeWaitsLate guards against callers that are sent away though they could be served late, which some get no
// second try for, and against a queue of late requests that grows until they wait in vain.
func TestCantBeOnTimeWaitsLate(t *testing.T) {
	// arrive returns what becomes of a request that can't be on time while late ones wait.
	arrive := func(late int) (Decision, *Queue[int]) {
		q := &Queue[int]{Service: Service{Limit: 100}}
		q.RecordEnd(0, 1000)
		waiting := Demand{Levels: []LevelDemand{{Level: 0, Waiting: 15}, {Level: LateLevel, Waiting: late}}}
		q.SetReport(1, "peer", waiting)
		w := &Waiter[int]{LatestOnTime: 200, LatestUseful: 2500}
		return q.Arrive(1, w, 0, func() float64 { return 0.99 }), q
	}
	t.Run("few wait late", func(t *testing.T) {
		decision, q := arrive(0)
		assert.Equal(t, Wait, decision)
		assert.Equal(t, LateLevel, q.waiters[0].level(1))
	})
	t.Run("many wait late", func(t *testing.T) {
		decision, _ := arrive(1000)
		assert.Equal(t, Reject, decision)
	})
}
