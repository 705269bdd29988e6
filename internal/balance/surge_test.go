package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func TestPickPlace(t *testing.T) {
	first := func() uint64 { return 1 } // never replaces the first among equals
	t.Run("fewest for its size", func(t *testing.T) {
		places := []Place{{Slots: 4, Own: 2}, {Slots: 12, Own: 3, Others: 2}, {Slots: 4, Own: 1, Others: 2}}
		assert.Equal(t, 1, Pick(places, "z", 1, first))
	})
	t.Run("own zone among equals", func(t *testing.T) {
		places := []Place{{Slots: 4, Zone: "y"}, {Slots: 4, Zone: "z"}}
		assert.Equal(t, 1, Pick(places, "z", 1, first))
	})
	t.Run("not down, not tried, not too cold", func(t *testing.T) {
		places := []Place{{Slots: 4, Down: true}, {Slots: 4, Tried: true}, {Slots: 4, Cold: true, ColdLeft: 36, Started: 9}}
		assert.Equal(t, -1, Pick(places, "z", 0.25, first))
		assert.Equal(t, 2, Pick(places, "z", 0.5, first))
	})
	t.Run("ties are spread", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		seen := map[int]int{}
		for range 400 {
			seen[Pick(make([]Place, 4), "z", 1, random.Uint64)]++
		}
		for i := range 4 {
			assert.InDelta(t, 100, seen[i], 40)
		}
	})
}

// TestPickLag replays arrivals at six choosers that hear of each other every 100 ms: no server may draw the crowd.
func TestPickLag(t *testing.T) {
	for seed := range uint64(8) {
		assert.LessOrEqual(t, mostAtOneServer(seed), 12, "seed %d: a server was sent more than its slots at a mean of 8", seed)
	}
}

// mostAtOneServer returns the most requests that one of 16 servers had in flight during ten seconds.
func mostAtOneServer(seed uint64) (worst int) {
	const choosers, servers, lag = 6, 16, 100
	random := rand.New(rand.NewPCG(seed, 4))
	own := make([][]int, choosers)
	heard := make([][]int, choosers)
	for i := range own {
		own[i], heard[i] = make([]int, servers), make([]int, servers)
	}
	type end struct{ at, chooser, server int }
	var ends []end
	for ms := range 10_000 {
		if ms%lag == 0 {
			for i := range own {
				copy(heard[i], own[i])
			}
		}
		left := ends[:0]
		for _, e := range ends {
			if e.at > ms {
				left = append(left, e)
				continue
			}
			own[e.chooser][e.server]--
		}
		ends = left
		if random.IntN(12) != 0 { // 83 a second
			continue
		}
		chooser := random.IntN(choosers)
		places := make([]Place, servers)
		for s := range places {
			places[s] = Place{Slots: 12, Own: own[chooser][s]}
			for o := range heard {
				if o != chooser {
					places[s].Others += heard[o][s]
				}
			}
		}
		s := Pick(places, "", 1, random.Uint64)
		own[chooser][s]++
		ends = append(ends, end{ms + 1500, chooser, s})
		total := 0
		for c := range own {
			total += own[c][s]
		}
		worst = max(worst, total)
	}
	return worst
}

func TestHealth(t *testing.T) {
	h := Health{}
	for range badInRow - 1 {
		h.Note(0, Bad)
	}
	assert.False(t, h.Down(0))
	h.Note(0, Neutral)
	assert.False(t, h.Down(0))
	h.Note(0, Bad)
	assert.True(t, h.Down(0))
	assert.False(t, h.Down(clock.Time(firstPause)))
	h.Note(clock.Time(firstPause), Bad)
	assert.True(t, h.Down(clock.Time(2*firstPause)), "the pause doubles")
	h.Note(clock.Time(2*firstPause), Good)
	assert.False(t, h.Down(clock.Time(2*firstPause)))
	h.Note(0, Unreachable)
	assert.True(t, h.Down(1), "one failed dial is enough")
}

func TestDoor(t *testing.T) {
	d := Door{}
	d.Close(0)
	assert.False(t, d.Try(clock.Time(firstTrial)-1))
	assert.True(t, d.Try(clock.Time(firstTrial)))
	assert.False(t, d.Try(clock.Time(firstTrial)+1), "one trial at a time")
	assert.True(t, d.Try(clock.Time(firstTrial+lastTrial)))
}

func TestRetryShare(t *testing.T) {
	const choosers = 9
	window := 10 * clock.Second
	t.Run("a storm of retries after a restart stays within the bound of every window", func(t *testing.T) {
		shares := make([]*RetryShare, choosers)
		for i := range shares {
			shares[i] = &RetryShare{Ratio: 0.2, Slack: 88, Window: window}
		}
		var spent []clock.Time
		for now := clock.Time(0); now < 40_000; now += 10 {
			for _, s := range shares {
				if s.Spend(now, 1.0/choosers) {
					spent = append(spent, now)
				}
			}
		}
		from := 0
		for i := range spent {
			for spent[i].Sub(spent[from]) >= window {
				from++
			}
			require.LessOrEqual(t, i-from+1, 88)
		}
		assert.Greater(t, len(spent), 88, "the budget is used")
	})
	t.Run("requests earn", func(t *testing.T) {
		s := RetryShare{Ratio: 0.2, Slack: 88, Window: window}
		assert.False(t, s.Spend(0, 0.1))
		for range 5 {
			s.Earn(0, 0.1)
		}
		assert.True(t, s.Spend(0, 0.1))
		assert.False(t, s.Spend(0, 0.1))
	})
}

func TestCrowd(t *testing.T) {
	crowd := func() *Crowd { return &Crowd{Base: 29, Prior: 2.2, Gap: 120} }
	t.Run("a peak lowers the limit at once and fades", func(t *testing.T) {
		c := crowd()
		before := c.Limit(c.Cost(0), 12, false)
		c.Observe(0, 125, 8)
		low := c.Limit(c.Cost(0), 12, false)
		assert.Less(t, low, 8.0)
		assert.Less(t, low, before)
		c.Observe(100, 60, 8)
		assert.InDelta(t, low, c.Limit(c.Cost(100), 12, false), 0.1, "a short pass does not raise it")
		assert.InDelta(t, 12, c.Limit(c.Cost(clock.Time(4*crowdFade)), 12, false), 0.01)
	})
	t.Run("what a pass takes at the limit stays below the pause", func(t *testing.T) {
		for _, cost := range []float64{3, 5, 8, 12} {
			c := crowd()
			c.Observe(0, c.fixed()+cost*8, 8)
			n := c.Limit(c.Cost(0), 12, false)
			assert.LessOrEqual(t, c.fixed()+cost*n, 120.0)
		}
	})
	t.Run("a stall is not the load of a pass", func(t *testing.T) {
		c := crowd()
		c.Observe(0, 1600, 8)
		assert.Zero(t, c.Cost(0))
	})
	t.Run("where nothing can be on time, all slots are used", func(t *testing.T) {
		c := crowd()
		c.Observe(0, 200, 2)
		assert.InDelta(t, 12, c.Limit(c.Cost(0), 12, false), 0)
	})
	t.Run("short passes tell nothing", func(t *testing.T) {
		c := crowd()
		c.Observe(0, 45, 1)
		assert.Zero(t, c.Cost(0))
	})
	t.Run("hot for a moment", func(t *testing.T) {
		c := crowd()
		c.Note(0, 118)
		assert.True(t, c.Hot(1))
		assert.False(t, c.Hot(clock.Time(crowdStale)))
		c.Note(400, 118)
		c.Note(401, 60)
		assert.False(t, c.Hot(402))
		c.Note(403, 1600)
		assert.False(t, c.Hot(404), "a stall is not the load of a pass")
	})
	t.Run("no pause is asked for", func(t *testing.T) {
		assert.InDelta(t, 6, (&Crowd{}).Limit(0, 6, false), 0)
	})
}

func TestLead(t *testing.T) {
	t.Run("passes that grow make starts take longer", func(t *testing.T) {
		var l Lead
		assert.Equal(t, leadPrior, l.Span())
		for i := range 60 {
			l.Add(140 + clock.Span(i%2)*40)
		}
		calm := l.Span()
		assert.InDelta(t, 180, float64(calm), 10)
		for i := range 60 {
			l.Add(200 + clock.Span(i%2)*80)
		}
		assert.Greater(t, l.Span(), calm+60)
	})
	t.Run("a stall is not how long a start takes", func(t *testing.T) {
		var l Lead
		for range 60 {
			l.Add(5 * clock.Second)
		}
		assert.Equal(t, leadMost, l.Span())
	})
}

// TestPressed replays a line in front of engines that run one request less than are asked for.
func TestPressed(t *testing.T) {
	c := Crowd{Base: 34, Prior: 3, Gap: 120}
	c.Observe(0, c.fixed()+10.4*5.4, 5.4)
	var l Line[int]
	l.Push(0, waiter(0, 200, 1000), 0)
	assert.False(t, l.Pressed(0, 60), "there is time")
	assert.True(t, l.Pressed(150, 60))
	assert.False(t, l.Pressed(250, 60), "it is late in any case")
	kept, used := c.Limit(c.Cost(0), 10, false), c.Limit(c.Cost(0), 10, true)
	assert.Less(t, kept, 6.0)
	assert.Greater(t, used, 6.0, "what is asked for")
	assert.LessOrEqual(t, c.fixed()+c.Cost(0)*used, 120.001)
}

func waiter(now clock.Time, onTime, latest clock.Span) *Waiter[int] {
	return &Waiter[int]{OnTime: now.Add(onTime), Latest: now.Add(latest)}
}

func TestLine(t *testing.T) {
	busy := func(rate int) *Line[int] {
		l := &Line[int]{}
		for i := range rate * int(lineMemory/clock.Second) {
			at := clock.Time(i * int(clock.Second) / rate)
			l.Arrive(at)
			l.Start(at)
		}
		return l
	}
	now := clock.Time(lineMemory)
	t.Run("on time before late, then by urgency, then by time", func(t *testing.T) {
		l := busy(50)
		late, second, first, urgent := waiter(now, -1, 900), waiter(now, 190, 900), waiter(now, 150, 900), waiter(now, 200, 900)
		urgent.Priority = -1
		for _, w := range []*Waiter[int]{second, first, urgent} {
			require.False(t, l.Push(now, w, 0).Refused)
		}
		l.waiting = append(l.waiting, late)
		for _, want := range []*Waiter[int]{urgent, first, second, late} {
			got, ok := l.Pop(now)
			require.True(t, ok)
			assert.Same(t, want, got)
		}
	})
	t.Run("refused at once where the wait is too long, with the time to come again", func(t *testing.T) {
		l := busy(20)
		refused := 0
		for range 30 {
			if turn := l.Push(now, waiter(now, 200, 1000), 0.5); turn.Refused {
				refused++
				assert.GreaterOrEqual(t, turn.After, leastReturn)
				assert.LessOrEqual(t, turn.After, mostReturn)
			}
		}
		assert.Positive(t, refused)
		assert.Equal(t, 30, refused+l.Len())
		assert.LessOrEqual(t, l.Len(), 20, "no more wait than a second serves")
	})
	t.Run("out of time", func(t *testing.T) {
		l := busy(50)
		w := waiter(now, 100, 300)
		l.Push(now, w, 0)
		assert.Empty(t, l.Expired(now.Add(300)))
		assert.Equal(t, []*Waiter[int]{w}, l.Expired(now.Add(301)))
		assert.False(t, l.Remove(w))
	})
}

// TestLineBurst replays a burst of 1.7 times the capacity for three seconds: first come, first served would make nearly
// every answer late from its first half second on.
func TestLineBurst(t *testing.T) {
	const capacity, burst = 80, 136 // starts and arrivals a second
	l := &Line[int]{}
	random := rand.New(rand.NewPCG(5, 6))
	onTime, late, refused := 0, 0, 0
	credit, demand := 0.0, 0.0
	for now := clock.Time(0); now < 8000; now++ {
		rate := 60.0
		if now > 2000 && now < 5000 {
			rate = burst
		}
		demand += rate / 1000
		credit = min(credit+capacity/1000.0, 1)
		for ; demand >= 1; demand-- {
			l.Arrive(now)
			if l.Len() == 0 && credit >= 1 {
				credit--
				l.Start(now)
				onTime++
				continue
			}
			if l.Push(now, waiter(now, 200, 1200), random.Float64()).Refused {
				refused++
			}
		}
		refused += len(l.Expired(now))
		if w, ok := (*Waiter[int])(nil), false; credit >= 1 {
			if w, ok = l.Pop(now); ok {
				credit--
				l.Start(now)
				if now <= w.OnTime {
					onTime++
				} else {
					late++
				}
			}
		}
	}
	asked := onTime + late + refused + l.Len()
	assert.Greater(t, float64(onTime)/float64(asked), 0.70, "%d on time, %d late, %d refused of %d", onTime, late, refused, asked)
	assert.Less(t, refused, 220, "what exceeds the capacity of the burst is 168")
}
