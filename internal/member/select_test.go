package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/internal/member"
	"carawaypick/internal/platform"
	"carawaypick/internal/spread"
	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// reached returns how many instances news from the first one reach along the neighbours.
func reached(l *platform.List) int {
	byName := make(map[string]platform.Instance)
	for _, i := range l.Instances {
		byName[i.Name] = i
	}
	seen := map[string]bool{l.Instances[0].Name: true}
	queue := []platform.Instance{l.Instances[0]}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, n := range member.Neighbours(i, l, member.NeighbourCount) {
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
			l := spread.Fleet(1, rapid.IntRange(1, 120).Draw(t, "count"), rapid.IntRange(1, 6).Draw(t, "zones"))
			assert.Equal(t, len(l.Instances), reached(l))
		})
	})
	t.Run("are few, live and never oneself", func(t *testing.T) {
		l := spread.Fleet(1, 60, 3)
		l.Instances[7].State = platform.Leaving
		for _, i := range l.Instances {
			chosen := member.Neighbours(i, l, member.NeighbourCount)
			assert.LessOrEqual(t, len(chosen), member.NeighbourCount+1)
			assert.NotContains(t, chosen, i)
			assert.NotContains(t, chosen, l.Instances[7])
		}
	})
	t.Run("stay as they are when an instance goes that is none of them", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			l := spread.Fleet(1, rapid.IntRange(3, 80).Draw(t, "count"), 3)
			self := l.Instances[0]
			before := member.Neighbours(self, l, member.NeighbourCount)
			gone := rapid.IntRange(1, len(l.Instances)-1).Draw(t, "gone")
			name := l.Instances[gone].Name
			after := member.Neighbours(self, &platform.List{Instances: append(l.Instances[:gone:gone], l.Instances[gone+1:]...)}, member.NeighbourCount)
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
	l := spread.Fleet(1, 60, 3)
	names := member.Readers(l, "zone-1", member.ReadersOfZone)
	assert.Len(t, names, member.ReadersOfZone)
	t.Run("another takes over from one that leaves", func(t *testing.T) {
		for n := range l.Instances {
			if l.Instances[n].Name == names[0] {
				l.Instances[n].State = platform.Leaving
			}
		}
		after := member.Readers(l, "zone-1", member.ReadersOfZone)
		assert.Len(t, after, member.ReadersOfZone)
		assert.Equal(t, names[1:], after[:2])
	})
}

func TestRate(t *testing.T) {
	for _, fleet := range []int{9, 100, 380, 5_900, 20_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			perSecond := func(silent bool) float64 {
				return member.CallsPerRead * float64(fleet) * float64(clock.Second) / float64(member.Rate(fleet, silent))
			}
			assert.LessOrEqual(t, perSecond(false), float64(member.CalmRate))
			assert.LessOrEqual(t, perSecond(true), float64(member.SilentRate))
		})
	}
}
