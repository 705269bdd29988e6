package directory

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/pkg/clock"
)

// someEntries returns count entries in three zones with cores between least and 0.8.
func someEntries(count int, least float64) (all []Candidate) {
	for i := range count {
		cores := least + (0.8-least)*uniform("cores", fmt.Sprint(i))
		all = append(all, Candidate{Name: fmt.Sprint("front-", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "abc"[i%3 : i%3+1], Cores: cores})
	}
	return all
}

// someAskers returns count askers of which part is in zone a and few are in c.
func someAskers(count int, part float64) (all []Asker) {
	for i := range count {
		zone := "b"
		if u := uniform("zone", fmt.Sprint(i)); u < part {
			zone = "a"
		} else if u > 0.95 {
			zone = "c"
		}
		all = append(all, Asker{Address: fmt.Sprintf("10.9.%d.%d", i/250, i%250), Zone: zone})
	}
	return all
}

// requests returns the requests per address if each asker sends one in all, evenly to the addresses of its answer.
func requests(entries []Candidate, askers []Asker) map[string]float64 {
	sum := make(map[string]float64)
	for _, a := range askers {
		answer := Choose(entries, a, MaxAddresses)
		for _, address := range answer {
			sum[address] += 1 / float64(len(answer))
		}
	}
	return sum
}

// assertProportional checks that each entry gets within a factor of 2 of its share of the cores.
func assertProportional(t *testing.T, entries []Candidate, askers []Asker) {
	t.Helper()
	got, weights, cores := requests(entries, askers), coreWeights(entries), 0.0
	for _, w := range weights {
		cores += w
	}
	for i, e := range entries {
		share := weights[i] / cores * float64(len(askers))
		assert.Greater(t, got[e.Address], share/2, "%s with %v cores", e.Name, e.Cores)
		assert.Less(t, got[e.Address], share*2, "%s with %v cores", e.Name, e.Cores)
	}
}

// TestRequestsFollowCores guards against entries that get no callers, or many more than they can serve.
func TestRequestsFollowCores(t *testing.T) {
	for _, count := range []int{65, 72, 149, 400} {
		for _, c := range []struct{ least, part float64 }{{0.08, 0.9}, {0.272, 0.2}, {0.8, 0}} {
			t.Run(fmt.Sprintf("%d entries, least %v, zone a asks for %v", count, c.least, c.part), func(t *testing.T) {
				assertProportional(t, someEntries(count, c.least), someAskers(8000, c.part))
			})
		}
	}
	t.Run("unknown cores count as the mean", func(t *testing.T) {
		entries := someEntries(72, 0.272)
		for i := range 20 {
			entries[i].Cores = []float64{0, -1, math.NaN(), math.Inf(1)}[i%4]
		}
		assertProportional(t, entries, someAskers(8000, 0.5))
	})
	t.Run("cores that differ 20 times, without zones", func(t *testing.T) {
		entries := someEntries(72, 0.8)
		for i := range 36 {
			entries[2*i].Cores = 0.04
		}
		askers := someAskers(8000, 0)
		for i := range askers {
			askers[i].Zone = ""
		}
		assertProportional(t, entries, askers)
	})
	t.Run("a zone with few cores", func(t *testing.T) {
		entries := someEntries(72, 0.272)
		for i := range 68 {
			entries[i].Zone = "b"
		}
		assertProportional(t, entries, someAskers(8000, 0.9))
	})
}

// TestAnswers guards against answers that are too small or large, name a full entry or one twice, or differ without cause.
func TestAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := someEntries(rapid.IntRange(1, 150).Draw(t, "entries"), 0.272)
		asker := Asker{Address: rapid.String().Draw(t, "asker"), Zone: rapid.SampledFrom([]string{"", "a", "x"}).Draw(t, "zone")}
		for i := range entries {
			entries[i].Full = rapid.Float64Range(0, 1).Draw(t, "full") < 0.2
			entries[i].Cores *= rapid.Float64Range(0, 100).Draw(t, "factor")
		}
		free := 0
		for _, e := range entries {
			if !e.Full {
				free++
			}
		}
		named := free
		if free == 0 {
			named = len(entries)
		}
		answer := Choose(entries, asker, MaxAddresses)
		assert.GreaterOrEqual(t, len(answer), min(minAddresses, named))
		assert.LessOrEqual(t, len(answer), min(MaxAddresses, named))
		assert.Len(t, slices.Compact(slices.Clone(answer)), len(answer))
		assert.True(t, slices.IsSorted(answer))
		for _, e := range entries {
			assert.False(t, e.Full && free > 0 && slices.Contains(answer, e.Address))
		}
		slices.Reverse(entries)
		assert.Equal(t, answer, Choose(entries, asker, MaxAddresses))
	})
	t.Run("all full", func(t *testing.T) {
		entries := someEntries(72, 0.272)
		want := Choose(entries, Asker{}, MaxAddresses)
		for i := range entries {
			entries[i].Full = true
		}
		assert.Equal(t, want, Choose(entries, Asker{}, MaxAddresses))
	})
	t.Run("one and none", func(t *testing.T) {
		assert.Equal(t, []string{"10.0.0.0:80"}, Choose(someEntries(1, 0.8), Asker{Zone: "a"}, MaxAddresses))
		assert.Empty(t, Choose(nil, Asker{}, MaxAddresses))
	})
}

// TestAnswersHardlyChange guards against callers that open new connections whenever an entry joins or leaves, and against an
// entry that joins and gets no callers.
func TestAnswersHardlyChange(t *testing.T) {
	for _, count := range []int{72, 149, 400} {
		before, after := someEntries(count, 0.272), someEntries(count+1, 0.272)
		joined, changed, named := after[count].Address, 0, 0
		askers := someAskers(500, 0.5)
		for _, a := range askers {
			old := Choose(before, a, MaxAddresses)
			for _, address := range Choose(after, a, MaxAddresses) {
				if address == joined {
					named++
				} else if !slices.Contains(old, address) {
					changed++
				}
			}
		}
		assert.Less(t, changed, len(askers), "others than the new one, at %d entries", count)
		assert.Positive(t, named)
	}
}

// TestOwnZoneIsPreferred guards against requests that needlessly leave their zone.
func TestOwnZoneIsPreferred(t *testing.T) {
	inZone := func(entries []Candidate, zone string) (part float64) {
		askers := someAskers(1000, 0)
		for i := range askers {
			askers[i].Zone = zone
		}
		got := requests(entries, askers)
		for _, e := range entries {
			if e.Zone == "a" {
				part += got[e.Address] / float64(len(askers))
			}
		}
		return part
	}
	entries := someEntries(72, 0.272)
	cores := inZone(entries, "")
	assert.Greater(t, inZone(entries, "a"), 1.5*cores)
	for i := range entries {
		if i >= 3 {
			entries[i].Zone = "b"
		}
	}
	assert.Less(t, inZone(entries, "a"), 2*inZone(entries, ""), "a zone without its share of cores")
}

// TestColdRetryAfter guards against callers that all come back at one time, or too late.
func TestColdRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := clock.Span(rapid.Int64Range(0, 20_000).Draw(t, "left"))
		got := ColdRetryAfter(left, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		assert.LessOrEqual(t, got, maxColdRetryAfter)
		if left > 0 {
			assert.LessOrEqual(t, got, left/3)
		}
		if left == 0 || left >= 6*minColdRetryAfter {
			assert.GreaterOrEqual(t, got, minColdRetryAfter)
		}
		assert.Greater(t, ColdRetryAfter(8*clock.Second, 0.9), 4*ColdRetryAfter(8*clock.Second, 0))
	})
}
