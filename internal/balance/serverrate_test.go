package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// entryCounts are the sizes of installations for which the parts of a rate must add up.
var entryCounts = []int{1, 3, 6, 9, 14, 33, 100, 300}

func entryNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("front-", i))
	}
	return names
}

// partsOf returns the sum of the parts of entries with these views.
func partsOf(r ServerRate, server uint64, views []*EntrySet) (sum int) {
	for _, v := range views {
		sum += r.Part(server, v)
	}
	return sum
}

// TestPartsExceedServerRate guards against parts that add up to more than a backend server accepts, or to far less.
func TestPartsExceedServerRate(t *testing.T) {
	rate := NewServerRate(14, clock.Second)
	for _, count := range entryCounts {
		t.Run(fmt.Sprintf("%d entries that know each other", count), func(t *testing.T) {
			names := entryNames(count)
			for server := range uint64(20) {
				var views []*EntrySet
				for _, name := range names {
					views = append(views, &EntrySet{Self: name, Alive: names, Known: count})
				}
				require.Equal(t, rate.Requests, partsOf(rate, server, views))
			}
		})
	}
	t.Run("entries that start have no part", func(t *testing.T) {
		assert.Zero(t, rate.Part(1, &EntrySet{Self: "front-0", Known: 1}))
	})
	t.Run("a cut-off entry has at most the part of all that it hears", func(t *testing.T) {
		assert.Zero(t, rate.Part(1, &EntrySet{Self: "front-0", Alive: []string{"front-0"}, Known: 33}))
		assert.Equal(t, 1, rate.Part(1, &EntrySet{Self: "front-0", Alive: []string{"front-0"}, Known: 9}))
	})
	t.Run("the rate of a server that accepts few is not lost with one entry", func(t *testing.T) {
		names := entryNames(32)
		var views []*EntrySet
		for _, name := range names {
			views = append(views, &EntrySet{Self: name, Alive: names, Known: 33})
		}
		assert.Equal(t, 1, partsOf(NewServerRate(0.2, 4*clock.Second), 7, views))
	})
}

// TestPartsOfDifferentViews draws partitions, entries that miss some others, entries that start and sleepers that still count
// entries which are gone.
func TestPartsOfDifferentViews(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		names := entryNames(rapid.SampledFrom(entryCounts).Draw(t, "entries"))
		rate := NewServerRate(float64(rapid.IntRange(1, 60).Draw(t, "rate")), clock.Second)
		sides := rapid.IntRange(1, 3).Draw(t, "sides")
		missing := rapid.IntRange(0, 20).Draw(t, "missing") // percent of the entries of its side that each one misses
		sideOf := make([]int, len(names))
		for i := range names {
			sideOf[i] = rapid.IntRange(0, sides-1).Draw(t, "side")
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		var views []*EntrySet
		for i, name := range names {
			view := &EntrySet{Self: name, Known: len(names)}
			for j, other := range names {
				if i == j || (sideOf[i] == sideOf[j] && random.IntN(100) >= missing) {
					view.Alive = append(view.Alive, other)
				}
			}
			switch random.IntN(20) {
			case 0:
				view.Alive = nil
			case 1:
				view.Alive = names
			}
			views = append(views, view)
		}
		sum := partsOf(rate, rapid.Uint64().Draw(t, "server"), views)
		assert.LessOrEqual(t, float64(sum), 1.5*float64(rate.Requests)+5)
	})
}

func TestServerRate(t *testing.T) {
	assert.Equal(t, ServerRate{Requests: 14, Window: 1000}, NewServerRate(14, clock.Second))
	assert.Equal(t, ServerRate{Requests: 4, Window: 4000}, NewServerRate(1.2, 4*clock.Second))
	assert.Equal(t, ServerRate{Requests: 1, Window: 5000}, NewServerRate(0.2, 4*clock.Second), "a window has at least one request")
	assert.Equal(t, ServerRate{Requests: 1, Window: clock.Minute}, NewServerRate(1e-30, 4*clock.Second))
	assert.Equal(t, ServerRate{Requests: maxRateRequests, Window: 4000}, NewServerRate(1e30, 4*clock.Second))
}

func TestSendLog(t *testing.T) {
	var l SendLog
	l.Add(124, clock.Second)
	l.Add(500, clock.Second)
	assert.Equal(t, 2, l.Within(1123, clock.Second))
	assert.Equal(t, 1, l.Within(1124, clock.Second), "a request counts for the whole window and no longer")
	assert.Equal(t, 0, l.Within(1500, clock.Second))
}
