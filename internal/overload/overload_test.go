package overload

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// threePriorities returns a replay with the mix and the time budgets of a customer whose capacity is insufficient.
func threePriorities(entries int, overload float64) replay {
	return replay{
		entries: entries, overload: overload, perMs: 0.24, flight: 2 * clock.Second, duration: 20 * clock.Second,
		mix: [3]float64{0.45, 0.35, 0.2}, onTime: [3]clock.Span{300, 300, 800}, returns: 0.5,
		hear: clock.Span(min(100+12*entries, 1800)), loss: 0.1,
	}
}

// sum returns the sum over the levels.
func sum(counts [Levels]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// assertFair asserts that more urgent priorities are served at least as often and that none starves.
func assertFair(t *testing.T, r replayResult) {
	t.Helper()
	all := float64(sum(r.served)) / float64(sum(r.arrived))
	share := func(l int) float64 { return float64(r.served[l]) / float64(max(r.arrived[l], 1)) }
	for l := range 3 {
		assert.GreaterOrEqual(t, share(l), all/4, "priority %d starves", l)
		if l > 0 {
			assert.GreaterOrEqual(t, share(l-1), share(l)-0.05, "priority %d is served less often than a less urgent one", l-1)
		}
	}
}

// assertEarly asserts that few requests are rejected after they waited.
func assertEarly(t *testing.T, r replayResult) {
	t.Helper()
	assert.LessOrEqual(t, float64(r.waited), 0.01*float64(sum(r.rejected)), "of %d rejections", sum(r.rejected))
}

// assertServed asserts that the servers are used, and that the served requests are on time.
func assertServed(t *testing.T, r replayResult) {
	t.Helper()
	assert.GreaterOrEqual(t, float64(sum(r.served)), 0.95*min(r.possible, float64(sum(r.arrived))))
	assert.GreaterOrEqual(t, float64(sum(r.onTime)), 0.85*float64(sum(r.served)))
}

// assertNotOverrun asserts that the servers get no more than the margin of the concurrency limit allows.
func assertNotOverrun(t *testing.T, r replayResult) {
	t.Helper()
	assert.LessOrEqual(t, float64(sum(r.served)), r.possible/0.9)
}

// assertEqualEntries asserts that the entry at which a request arrives does not matter: each entry rejects the part that all
// together reject of its mix of priorities, up to the chance variation of few requests.
func assertEqualEntries(t *testing.T, r replayResult) {
	t.Helper()
	least, most := 1.0, 0.0
	for i, arrived := range r.arrivedAt {
		if arrived < 20 {
			continue
		}
		expected := 0.0
		for l := range LateLevel {
			expected += float64(r.mixAt[i][l]) * float64(r.rejected[l]) / float64(max(r.arrived[l], 1))
		}
		ratio := float64(r.rejectedAt[i]) / float64(arrived)
		if arrived >= 200 {
			least, most = min(least, ratio), max(most, ratio)
		}
		share := expected / float64(arrived)
		assert.InDelta(t, share, ratio, max(0.15, 3.5*math.Sqrt(share*(1-share)/float64(arrived))), "entry %d", i)
	}
	assert.LessOrEqual(t, most-least, 0.15)
}

// TestOverload replays overload at entries of which some die and some join. It guards against an order of priorities that
// depends on the entry or on the time budget, rejections after a wait, idle servers and late answers.
func TestOverload(t *testing.T) {
	for _, entries := range []int{1, 6, 36, 72, 149, 400} {
		for _, overload := range []float64{1, 1.3, 1.7} {
			t.Run(fmt.Sprintf("%d entries, overload %.1f", entries, overload), func(t *testing.T) {
				t.Parallel()
				p := threePriorities(entries, overload)
				p.runs = func(now clock.Time, i int) bool {
					return (i%10 != 3 || now < 9000) && (i%10 != 5 || now > 6000) // the first dies, the other joins
				}
				r := p.run(1)
				t.Logf("arrived %v served %v on time %v rejected %v after a wait %d", r.arrived, r.served, r.onTime, r.rejected, r.waited)
				assertFair(t, r)
				assertEarly(t, r)
				assertServed(t, r)
				assertNotOverrun(t, r)
				assertEqualEntries(t, r)
			})
		}
	}
}

// TestOverloadAtManyEntries replays arrivals of 1.7 times what the servers take, spread over entries whose queues compete for
// the places that become free. Requests that can't be served must be rejected as they arrive, not after they have waited, by
// any number of entries.
func TestOverloadAtManyEntries(t *testing.T) {
	const (
		maxExpiredShare = 0.1  // of the arrivals
		minServedShare  = 0.95 // of what the servers take
	)
	for _, entries := range []int{1, 6, 33, 149, 400} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			r := replay{
				entries: entries, overload: 1.7, perMs: 0.4, flight: 1500, duration: 60 * clock.Second,
				mix: [3]float64{1}, onTime: [3]clock.Span{250}, hear: clock.Span(min(100+12*entries, 1800)), loss: 0.1,
			}.run(1)
			t.Logf("of %d arrivals %d served, %d rejected after they waited", r.arrived[0], r.served[0], r.expired)
			assert.LessOrEqual(t, float64(r.expired), maxExpiredShare*float64(r.arrived[0]), "requests rejected after they waited")
			assert.GreaterOrEqual(t, float64(r.served[0]), minServedShare*r.possible, "requests served")
		})
	}
}

// TestPartition guards against two halves of the entries that stay overrun after they hear each other again.
func TestPartition(t *testing.T) {
	p := threePriorities(36, 1.3)
	p.hears = func(now clock.Time, from, to int) bool { return now < 8000 || now > 14000 || from%2 == to%2 }
	r := p.run(1)
	assertFair(t, r)
	assertEarly(t, r)
	assert.LessOrEqual(t, r.last, 1.1*p.perMs*float64(p.flight), "requests in flight")
}

// TestThirdOfEntriesDies guards against shares of entries that are gone.
func TestThirdOfEntriesDies(t *testing.T) {
	p := threePriorities(36, 1.7)
	p.runs = func(now clock.Time, i int) bool { return i%3 != 0 || now < 10000 }
	r := p.run(1)
	assertFair(t, r)
	assertEarly(t, r)
	assertServed(t, r)
	assertNotOverrun(t, r)
}

// TestPausedEntries guards against entries that decide by an old view after a pause.
func TestPausedEntries(t *testing.T) {
	p := threePriorities(36, 1.3)
	p.paused = func(now clock.Time, i int) bool { return i%4 == 0 && now > 8000 && now < 12000 }
	r := p.run(1)
	assertFair(t, r)
	assertServed(t, r)
	s := capacity()
	s.SetReport(1000, "b", Demand{Levels: []LevelDemand{{Waiting: 1000}}})
	assert.Greater(t, s.ExpectedWait(3000, 0), 500.0)
	assert.Less(t, s.ExpectedWait(3001, 0), 100.0, "the report is too old")
}

// TestEntryHearsNobody guards against an entry that waits for the reports of others or for their requests, which it does not
// hear of, rather than decide by its own queue.
func TestEntryHearsNobody(t *testing.T) {
	p := threePriorities(1, 1.3)
	p.silent = 5
	r := p.run(1)
	assertFair(t, r)
	assertEarly(t, r)
	assertServed(t, r)
	assertNotOverrun(t, r)
	p = threePriorities(6, 1.3)
	p.hears = func(_ clock.Time, from, to int) bool { return from != 0 && to != 0 }
	r = p.run(1)
	assertFair(t, r)
	assertServed(t, r)
}
