package clustersim

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPush(t *testing.T) {
	for _, size := range []int{1, 2, 10, 300} {
		t.Run(fmt.Sprintf("reaches all %d members without loss", size), func(t *testing.T) {
			g := NewGraph(NewInstanceList(1, size, zoneCount))
			for from := range min(size, 10) {
				f := g.Push(from, 0, rand.New(rand.NewPCG(1, 2)))
				assert.Equal(t, size, f.Reached)
				assert.Less(t, f.Hops, max(size, 2))
			}
		})
	}
	t.Run("reaches no other member when every push is lost", func(t *testing.T) {
		f := NewGraph(NewInstanceList(1, 300, zoneCount)).Push(0, 1, rand.New(rand.NewPCG(1, 2)))
		assert.Equal(t, PushResult{Reached: 1}, f)
	})
}

func TestMeasureFleet(t *testing.T) {
	f, err := measureFleet(40)
	require.NoError(t, err)
	for name, calls := range map[string]float64{
		"start": f.startCalls, "calm": f.steadyCalls, "outage": f.outageCalls, "return": f.recoveryCalls, "replaced": f.replacementCalls,
	} {
		t.Run("platform calls: "+name, func(t *testing.T) {
			assert.Positive(t, calls)
			assert.Less(t, calls, float64(maxPlatformCalls)/10)
		})
	}
	t.Run("bytes", func(t *testing.T) {
		assert.Positive(t, f.ticketBytes)
		assert.Positive(t, f.changeBytes)
		assert.Less(t, f.peerBytes, float64(maxProcessBytes)/2)
	})
}
