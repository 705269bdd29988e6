package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/spread"
	"carawaypick/pkg/clock"
)

// serviceRate is what the platform bears from all readers together, in calls a second.
const serviceRate = 2000

func TestCallsAgainstFleet(t *testing.T) {
	for _, count := range []int{9, 40, 160, 320} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := spread.NewWorld(count, 3, 1)
			w.Service.Publish(1, share(1, "ana", 1))
			_, cold := w.CallsIn(10 * clock.Second)
			calm, _ := w.CallsIn(clock.Minute)
			w.Service.Down = true
			down, _ := w.CallsIn(2 * clock.Minute)
			w.Service.Down = false
			_, back := w.CallsIn(20 * clock.Second)
			for n := 0; n < count; n += 3 { // one zone of three
				w.Start(n, w.Service.List.Instances[n])
			}
			_, replaced := w.CallsIn(20 * clock.Second)
			t.Logf("fleet %d: most a second while all start %d, calm %.1f, down %.1f, most a second on its return %d, with a zone replaced %d",
				count, cold, calm, down, back, replaced)
			const fewOf = serviceRate / 10
			assert.Less(t, cold, fewOf+count)
			assert.Less(t, calm, float64(fewOf))
			assert.Less(t, down, float64(fewOf))
			assert.Less(t, back, fewOf)
			assert.Less(t, replaced, fewOf+count/3)
			assert.True(t, inForce(w, 1))
		})
	}
}
