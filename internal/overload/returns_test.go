package overload

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/pkg/clock"
)

// returningCallers are rejected at each entry ten times a second, with 8 s left.
type returningCallers struct {
	entries []*Returns
	random  *rand.Rand
	booked  map[clock.Time]int // appointments by second
	told    map[clock.Time]int // all answers by tenth of a second
	byEntry []int              // appointments
}

func newReturningCallers(entries int) *returningCallers {
	c := &returningCallers{random: rand.New(rand.NewPCG(1, 2)), booked: map[clock.Time]int{}, told: map[clock.Time]int{}, byEntry: make([]int, entries)}
	for range entries {
		c.entries = append(c.entries, &Returns{})
	}
	return c
}

// run lets the callers come for a time.
func (c *returningCallers) run(t *testing.T, from, to clock.Time, spare float64) {
	const left = 8 * clock.Second
	for now := from; now < to; now = now.Add(100) {
		for i, r := range c.entries {
			before := r.schedules[1].gap
			wait := r.RetryAfter(now, 1, left, spare, len(c.entries), c.random.Float64())
			if !assert.True(t, wait >= minRetryAfter && wait <= left/3, "told %d ms", wait) {
				return
			}
			c.told[now.Add(wait)/100]++
			if r.schedules[1].last == now.Add(wait) && r.schedules[1].gap > before {
				c.booked[now.Add(wait)/clock.Time(clock.Second)]++
				c.byEntry[i]++
			}
		}
	}
}

// Guards against callers that return together, later than they accept, or more often than there is capacity.
func TestReturnsOfManyEntries(t *testing.T) {
	const spare = 40
	for _, entries := range []int{1, 72, 400} {
		c := newReturningCallers(entries)
		c.run(t, 0, 20000, spare)
		most, sum := 0, 0
		for s := clock.Time(1); s < 20; s++ {
			most, sum = max(most, c.booked[s]), sum+c.booked[s]
		}
		deviations := 5 * math.Sqrt(spare)
		assert.LessOrEqual(t, float64(most), spare+deviations, "%d entries booked more than is spare in a second", entries)
		if entries > 1 { // one entry alone has fewer callers than is spare
			assert.InDelta(t, 19*spare, sum, 5*math.Sqrt(19*spare), "%d entries leave capacity unbooked", entries)
		}
		tenth := float64(entries)
		for s := clock.Time(30); s < 200; s++ {
			assert.LessOrEqual(t, float64(c.told[s]), 2*tenth+5*math.Sqrt(2*tenth), "%d entries tell one moment", entries)
		}
		if entries == 72 {
			for i, n := range c.byEntry {
				assert.Positive(t, n, "entry %d books nothing", i)
			}
		}
	}
}

// Guards against capacity that stays booked for the callers of entries that were killed.
func TestReturnsOfKilledEntries(t *testing.T) {
	const spare = 60
	c := newReturningCallers(72)
	c.run(t, 0, 5000, spare)
	c.entries, c.byEntry = c.entries[:36], c.byEntry[:36]
	c.entries[0] = &Returns{} // has restarted
	c.run(t, 5000, 20000, spare)
	for s := clock.Time(8); s < 20; s++ {
		assert.InDelta(t, spare, c.booked[s], 5*math.Sqrt(spare), "second %d", s)
	}
}

func TestReturns(t *testing.T) {
	t.Run("never over the bound, whatever comes", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			var r Returns
			now := clock.Time(0)
			for range rapid.IntRange(1, 60).Draw(t, "callers") {
				now = now.Add(clock.Span(rapid.IntRange(-50, 3000).Draw(t, "passed")))
				left := clock.Span(rapid.IntRange(-100, 20000).Draw(t, "left"))
				spare := rapid.SampledFrom([]float64{0, 0.1, 5, 500, 1e300, -3, math.NaN(), math.Inf(1)}).Draw(t, "spare")
				entries := rapid.SampledFrom([]int{-1, 0, 1, 72, 400}).Draw(t, "entries")
				wait := r.RetryAfter(now, rapid.IntRange(-1, 9).Draw(t, "priority"), left, spare, entries, rapid.Float64Range(0, 0.999999).Draw(t, "random"))
				assert.LessOrEqual(t, wait, max(left/3, 0))
				assert.GreaterOrEqual(t, wait, max(min(minRetryAfter, left/3), 0))
			}
		})
	})
	t.Run("without capacity in sight, callers come in the second half of the bound", func(t *testing.T) {
		var r Returns
		assert.Equal(t, clock.Span(1000), r.RetryAfter(0, 0, 6000, 0, 72, 0))
		assert.Equal(t, clock.Span(1500), r.RetryAfter(0, 0, 6000, 0, 72, 0.5))
	})
	t.Run("a caller that comes early is told a later time", func(t *testing.T) {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			var r Returns
			promised := clock.Time(0)
			for now := clock.Time(0); now < 1000; now = now.Add(50) {
				at := now.Add(r.RetryAfter(now, 0, clock.Minute, 4, 2, random.Float64()))
				assert.Greater(t, at, promised)
				promised = at
			}
		}
	})
	t.Run("appointments of urgent callers leave less to others, not the reverse", func(t *testing.T) {
		told := func(priorities ...int) (at clock.Span) {
			var r Returns
			for _, p := range priorities {
				at = r.RetryAfter(0, p, clock.Minute, 10, 1, 0.5)
			}
			return at
		}
		assert.Greater(t, told(2, 0, 0, 0, 0, 0, 0, 2), told(2, 2)+200)
		assert.Equal(t, told(0, 0), told(0, 2, 2, 2, 2, 0))
	})
	t.Run("what is too late for one caller is left to another", func(t *testing.T) {
		var r Returns
		r.RetryAfter(0, 0, clock.Minute, 1, 1, 0.9)
		gap := r.schedules[0].gap
		assert.LessOrEqual(t, r.RetryAfter(0, 0, 900, 1, 1, 0.9), clock.Span(300))
		assert.Equal(t, gap, r.schedules[0].gap)
	})
	t.Run("old appointments are dropped when the rate has fallen", func(t *testing.T) {
		var r Returns
		for range 100 {
			r.RetryAfter(0, 0, clock.Minute, 50, 1, 0.5)
		}
		r.RetryAfter(10, 0, clock.Second, 0.5, 1, 0.5)
		assert.Less(t, r.RetryAfter(5000, 0, clock.Minute, 0.5, 1, 0.5), 4*clock.Second)
	})
	t.Run("a gap whose appointment passed unused gets no second one", func(t *testing.T) {
		var r Returns
		r.RetryAfter(0, 0, 900, 0.1, 1, 0.2)
		assert.Greater(t, r.RetryAfter(3000, 0, clock.Minute, 0.1, 1, 0.9), 10*clock.Second)
	})
}

// Guards against appointments at a rate that arrivals use up, and against late callers without any.
func TestSpare(t *testing.T) {
	var s Service
	s.SetReport(0, "peer", Demand{Starts: 2000, Ends: 2000, Levels: []LevelDemand{{Level: 0, Arrivals: 500}, {Level: 1, Arrivals: 1000}, {Level: 2, Arrivals: 900}}})
	for level, spare := range map[int]float64{0: 15, 1: 5, 2: 0, 7: 0, LateLevel: 20 * minLateFraction} {
		assert.InDelta(t, spare, s.Spare(10, level), 1e-6, "level %d", level)
	}
	assert.Zero(t, s.Spare(clock.Time(reportExpiry+500), LateLevel), "old reports don't count")
}

// TestTinySpareRate guards against a Retry-After below 0 where the wait for a spare start is out of the range of a Span, as after
// some idle seconds in which the rate of starts has decayed.
func TestTinySpareRate(t *testing.T) {
	for _, spare := range []float64{1e-300, 1e-30, 1e-18, 1e-9} {
		var r Returns
		for now := clock.Time(1000); now < 3000; now += 100 {
			wait := r.RetryAfter(now, 0, 3000, spare, 72, 0.5)
			assert.GreaterOrEqual(t, wait, minRetryAfter, "spare %g", spare)
			assert.LessOrEqual(t, wait, clock.Span(1000), "spare %g", spare)
		}
	}
}
