package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

var patience = Patience{First: 5 * clock.Second, Least: 200, Most: 3 * clock.Second, Intervals: 10}

func TestStall(t *testing.T) {
	t.Run("waits for the first event", func(t *testing.T) {
		s := NewStall(100, patience)
		assert.False(t, s.Stalled(5099))
		assert.True(t, s.Stalled(5100))
	})
	t.Run("notices a stream that stops, by its own pace", func(t *testing.T) {
		s := NewStall(0, patience)
		now := clock.Time(0)
		for range 50 {
			now = now.Add(40)
			s.Event(now)
			assert.False(t, s.Stalled(now.Add(60)))
		}
		assert.True(t, s.Stalled(now.Add(clock.Second)))
	})
	t.Run("a slower stream gets more time", func(t *testing.T) {
		slow, quick := NewStall(0, patience), NewStall(0, patience)
		for i := range clock.Time(30) {
			slow.Event(i * 200)
			quick.Event(i * 30)
		}
		assert.Greater(t, slow.Due().Sub(29*200), quick.Due().Sub(29*30))
	})
}

// TestStallBounds checks that a stream is never called stalled before the least nor kept beyond the most time.
func TestStallBounds(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		now := clock.Time(0)
		s := NewStall(now, patience)
		for range rapid.IntRange(2, 60).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 4000).Draw(t, "interval")))
			s.Event(now)
			require.False(t, s.Stalled(now.Add(patience.Least-1)))
			require.True(t, s.Stalled(now.Add(patience.Most)))
		}
	})
}

func TestHedge(t *testing.T) {
	hedge := func(burst uint32) *Hedge {
		h := &Hedge{Budget: NewBudget(0.1, burst), Least: 100}
		for range 50 {
			h.First(200)
		}
		return h
	}
	slow := Attempt{Team: "a", Idempotent: true}
	t.Run("doubles slow idempotent work within the budget", func(t *testing.T) {
		h := hedge(1)
		assert.False(t, h.Decide(150, slow))
		assert.True(t, h.Decide(1000, slow))
		assert.False(t, h.Decide(1000, slow), "the budget is spent")
	})
	t.Run("decides nothing before it has seen a first event", func(t *testing.T) {
		h := &Hedge{Budget: NewBudget(0.1, 5)}
		assert.False(t, h.Decide(clock.Time(clock.Hour), slow))
	})
	cases := map[string]func(*Attempt){
		"work that may not be repeated": func(a *Attempt) { a.Idempotent = false },
		"a suspect":                     func(a *Attempt) { a.Suspect = true },
		"work that has two attempts":    func(a *Attempt) { a.Hedged = true },
		"a stream that has begun":       func(a *Attempt) { a.Events = 1 },
		"work past its deadline":        func(a *Attempt) { a.Deadline = 900 },
	}
	for name, change := range cases {
		t.Run("never doubles "+name, func(t *testing.T) {
			a := slow
			change(&a)
			assert.False(t, hedge(5).Decide(1000, a))
		})
	}
}
