package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

var stallTimeouts = StallTimeouts{FirstEvent: 5 * clock.Second, MinInterval: 200, MaxInterval: 3 * clock.Second, IntervalFactor: 10}

func TestStallDetector(t *testing.T) {
	t.Run("waits for the first event", func(t *testing.T) {
		s := NewStallDetector(100, stallTimeouts)
		assert.False(t, s.Stalled(5099))
		assert.True(t, s.Stalled(5100))
	})
	t.Run("detects a stalled stream by its event interval", func(t *testing.T) {
		s := NewStallDetector(0, stallTimeouts)
		now := clock.Time(0)
		for range 50 {
			now = now.Add(40)
			s.Event(now)
			assert.False(t, s.Stalled(now.Add(60)))
		}
		assert.True(t, s.Stalled(now.Add(clock.Second)))
	})
	t.Run("a slower stream gets more time", func(t *testing.T) {
		slow, quick := NewStallDetector(0, stallTimeouts), NewStallDetector(0, stallTimeouts)
		for i := range clock.Time(30) {
			slow.Event(i * 200)
			quick.Event(i * 30)
		}
		assert.Greater(t, slow.StallTime().Sub(29*200), quick.StallTime().Sub(29*30))
	})
}

// TestStallDetectorBounds checks that the stall timeout stays within its minimum and maximum.
func TestStallDetectorBounds(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		now := clock.Time(0)
		s := NewStallDetector(now, stallTimeouts)
		for range rapid.IntRange(2, 60).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 4000).Draw(t, "interval")))
			s.Event(now)
			require.False(t, s.Stalled(now.Add(stallTimeouts.MinInterval-1)))
			require.True(t, s.Stalled(now.Add(stallTimeouts.MaxInterval)))
		}
	})
}

func TestHedger(t *testing.T) {
	hedge := func(burst uint32) *Hedger {
		h := &Hedger{Budget: NewRetryBudget(0.1, burst), MinDelay: 100}
		for range 50 {
			h.ObserveFirstEvent(200)
		}
		return h
	}
	slow := Attempt{Team: "a", Idempotent: true}
	t.Run("hedges slow idempotent attempts within the budget", func(t *testing.T) {
		h := hedge(1)
		assert.False(t, h.TryHedge(150, slow))
		assert.True(t, h.TryHedge(1000, slow))
		assert.False(t, h.TryHedge(1000, slow), "the budget is used up")
	})
	t.Run("does not hedge before the first observation", func(t *testing.T) {
		h := &Hedger{Budget: NewRetryBudget(0.1, 5)}
		assert.False(t, h.TryHedge(clock.Time(clock.Hour), slow))
	})
	cases := map[string]func(*Attempt){
		"a non-idempotent attempt":          func(a *Attempt) { a.Idempotent = false },
		"a suspect content":                 func(a *Attempt) { a.Suspect = true },
		"an attempt that is already hedged": func(a *Attempt) { a.Hedged = true },
		"a stream that has started":         func(a *Attempt) { a.Events = 1 },
		"an attempt past its deadline":      func(a *Attempt) { a.Deadline = 900 },
	}
	for name, change := range cases {
		t.Run("never hedges "+name, func(t *testing.T) {
			a := slow
			change(&a)
			assert.False(t, hedge(5).TryHedge(1000, a))
		})
	}
}
