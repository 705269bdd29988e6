package gossip_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/gossip"
	"carawaypick/internal/platform"
	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// countReached returns how many instances an update from the first one reaches through neighbours.
func countReached(l *platform.List) int {
	byName := make(map[string]platform.Instance)
	for _, i := range l.Instances {
		byName[i.Name] = i
	}
	seen := map[string]bool{l.Instances[0].Name: true}
	queue := []platform.Instance{l.Instances[0]}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, n := range gossip.Neighbours(i, l, gossip.NeighbourCount) {
			if !seen[n.Name] {
				seen[n.Name] = true
				queue = append(queue, byName[n.Name])
			}
		}
	}
	return len(seen)
}

func TestNeighbours(t *testing.T) {
	t.Run("connect all live instances", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			l := clustersim.NewInstanceList(1, rapid.IntRange(1, 120).Draw(t, "count"), rapid.IntRange(1, 6).Draw(t, "zones"))
			assert.Equal(t, len(l.Instances), countReached(l))
		})
	})
	t.Run("are few, live and other instances", func(t *testing.T) {
		l := clustersim.NewInstanceList(1, 60, 3)
		l.Instances[7].State = platform.StateLeaving
		for _, i := range l.Instances {
			chosen := gossip.Neighbours(i, l, gossip.NeighbourCount)
			assert.LessOrEqual(t, len(chosen), gossip.NeighbourCount+1)
			assert.NotContains(t, chosen, i)
			assert.NotContains(t, chosen, l.Instances[7])
		}
	})
	t.Run("change by at most one when an instance is removed", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			l := clustersim.NewInstanceList(1, rapid.IntRange(3, 80).Draw(t, "count"), 3)
			self := l.Instances[0]
			before := gossip.Neighbours(self, l, gossip.NeighbourCount)
			removed := rapid.IntRange(1, len(l.Instances)-1).Draw(t, "removed")
			name := l.Instances[removed].Name
			after := gossip.Neighbours(self, &platform.List{Instances: append(l.Instances[:removed:removed], l.Instances[removed+1:]...)}, gossip.NeighbourCount)
			kept := 0
			for _, i := range before {
				if i.Name == name {
					continue
				}
				if assert.Contains(t, after, i) {
					kept++
				}
			}
			assert.GreaterOrEqual(t, kept, len(before)-1)
		})
	})
}

func TestReaders(t *testing.T) {
	l := clustersim.NewInstanceList(1, 60, 3)
	names := gossip.Readers(l, "zone-1", gossip.ReadersPerZone)
	assert.Len(t, names, gossip.ReadersPerZone)
	t.Run("another reader replaces one that leaves", func(t *testing.T) {
		for n := range l.Instances {
			if l.Instances[n].Name == names[0] {
				l.Instances[n].State = platform.StateLeaving
			}
		}
		after := gossip.Readers(l, "zone-1", gossip.ReadersPerZone)
		assert.Len(t, after, gossip.ReadersPerZone)
		assert.Equal(t, names[1:], after[:2])
	})
}

func TestReadInterval(t *testing.T) {
	for _, fleet := range []int{9, 100, 380, 5_900, 20_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			perSecond := func(isolated bool) float64 {
				return gossip.CallsPerRead * float64(fleet) * float64(clock.Second) / float64(gossip.ReadInterval(fleet, isolated))
			}
			assert.LessOrEqual(t, perSecond(false), float64(gossip.NormalReadRate))
			assert.LessOrEqual(t, perSecond(true), float64(gossip.IsolatedReadRate))
		})
	}
}
