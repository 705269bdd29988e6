package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPush(t *testing.T) {
	for _, size := range []int{1, 2, 10, 300} {
		t.Run(fmt.Sprintf("reaches all %d without loss", size), func(t *testing.T) {
			g := NewGraph(Fleet(1, size, zones))
			for from := range min(size, 10) {
				f := g.Push(from, 0, rand.New(rand.NewPCG(1, 2)))
				assert.Equal(t, size, f.Reached)
				assert.Less(t, f.Rounds, max(size, 2))
			}
		})
	}
	t.Run("reaches nobody where all is lost", func(t *testing.T) {
		f := NewGraph(Fleet(1, 300, zones)).Push(0, 1, rand.New(rand.NewPCG(1, 2)))
		assert.Equal(t, Flood{Reached: 1}, f)
	})
}

func TestFigures(t *testing.T) {
	f, err := fleetFigures(40)
	require.NoError(t, err)
	for name, calls := range map[string]float64{
		"start": f.cold, "calm": f.calm, "outage": f.down, "return": f.back, "replaced": f.replaced,
	} {
		t.Run("calls in "+name, func(t *testing.T) {
			assert.Positive(t, calls)
			assert.Less(t, calls, float64(serviceRate)/10)
		})
	}
	t.Run("bytes", func(t *testing.T) {
		assert.Positive(t, f.ticket)
		assert.Positive(t, f.change)
		assert.Less(t, f.bytes, float64(processBytes)/2)
	})
}
