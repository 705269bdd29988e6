package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// serviceRate is what the platform bears from all readers together, in calls a second.
const serviceRate = 2000

// callsIn returns the calls to the platform a second within a span, and the most in any second of it.
func (w *world) callsIn(span clock.Span) (mean float64, most int) {
	start := w.service.calls
	for end := w.now.Add(span); w.now < end; {
		before := w.service.calls
		w.run(clock.Second)
		most = max(most, w.service.calls-before)
	}
	return float64(w.service.calls-start) * float64(clock.Second) / float64(span), most
}

func TestCallsAgainstFleet(t *testing.T) {
	for _, count := range []int{9, 40, 160, 320} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := newWorld(count, 3, 1)
			w.service.publish(1, share(1, "ana", 1))
			_, cold := w.callsIn(10 * clock.Second)
			calm, _ := w.callsIn(clock.Minute)
			w.service.down = true
			down, _ := w.callsIn(2 * clock.Minute)
			w.service.down = false
			_, back := w.callsIn(20 * clock.Second)
			for n := 0; n < count; n += 3 { // one zone of three
				w.add(n, w.service.list.Instances[n])
			}
			_, replaced := w.callsIn(20 * clock.Second)
			t.Logf("fleet %d: most a second while all start %d, calm %.1f, down %.1f, most a second on its return %d, with a zone replaced %d",
				count, cold, calm, down, back, replaced)
			const fewOf = serviceRate / 10
			assert.Less(t, cold, fewOf+count)
			assert.Less(t, calm, float64(fewOf))
			assert.Less(t, down, float64(fewOf))
			assert.Less(t, back, fewOf)
			assert.Less(t, replaced, fewOf+count/3)
			assert.True(t, w.inForce(1)())
		})
	}
}
