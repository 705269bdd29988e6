package gossip_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/clustersim"
	"carawaypick/pkg/clock"
)

// platformCapacity is the number of calls per second that the platform can serve, from all processes.
const platformCapacity = 2000

func TestPlatformCallsByFleetSize(t *testing.T) {
	for _, count := range []int{9, 40, 160, 320} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := clustersim.NewCluster(count, 3, 1)
			w.Platform.Publish(1, shareTicket(1, "ana", 1))
			_, startMax := w.MeasureCalls(10 * clock.Second)
			normal, _ := w.MeasureCalls(clock.Minute)
			w.Platform.Down = true
			outage, _ := w.MeasureCalls(2 * clock.Minute)
			w.Platform.Down = false
			_, recoveryMax := w.MeasureCalls(20 * clock.Second)
			for n := 0; n < count; n += 3 { // one zone of three
				w.StartMember(n, w.Platform.List.Instances[n])
			}
			_, replacementMax := w.MeasureCalls(20 * clock.Second)
			t.Logf("fleet of %d, platform calls per second: max at start %d, normal %.1f, outage %.1f, max after outage %d, max after replacement of a zone %d",
				count, startMax, normal, outage, recoveryMax, replacementMax)
			const maxRate = platformCapacity / 10 // calls per second
			assert.Less(t, startMax, maxRate+count)
			assert.Less(t, normal, float64(maxRate))
			assert.Less(t, outage, float64(maxRate))
			assert.Less(t, recoveryMax, maxRate)
			assert.Less(t, replacementMax, maxRate+count/3)
			assert.True(t, isApplied(w, 1))
		})
	}
}
