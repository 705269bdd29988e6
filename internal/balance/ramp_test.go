package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

func TestRamp(t *testing.T) {
	t.Run("time alone does not open it", func(t *testing.T) {
		r := NewRamp(2, 16)
		assert.Equal(t, uint32(2), r.Window(clock.Time(clock.Hour)))
	})
	t.Run("work without tokens does not open it", func(t *testing.T) {
		r := NewRamp(2, 16)
		for now := range clock.Time(10_000) {
			r.Done(now, 0)
		}
		assert.Equal(t, uint32(2), r.Window(10_000))
	})
	t.Run("a burst of work does not open it at once", func(t *testing.T) {
		r := NewRamp(2, 16)
		for range 1000 {
			r.Done(500, 10)
		}
		assert.Equal(t, uint32(3), r.Window(500))
	})
	t.Run("lower bounds close it", func(t *testing.T) {
		r := NewRamp(4, 16)
		r.Limit(1, 3)
		assert.Equal(t, uint32(3), r.Window(0))
	})
}

// TestRampBounds checks that the window stays within its bounds and grows by completed windows only.
func TestRampBounds(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		cold := rapid.Uint32Range(1, 8).Draw(t, "cold")
		warm := cold + rapid.Uint32Range(0, 20).Draw(t, "more")
		r := NewRamp(cold, warm)
		now := clock.Time(0)
		var work uint32
		var opened clock.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 80).Draw(t, "pause")))
			if rapid.IntRange(0, 40).Draw(t, "step") == 0 {
				r.Restart(now)
				require.Equal(t, cold, r.Window(now))
				work, opened = 0, now
				continue
			}
			before := r.Window(now)
			r.Done(now, rapid.Uint32Range(0, 3).Draw(t, "tokens"))
			work++
			after := r.Window(now)
			require.LessOrEqual(t, after, warm)
			require.LessOrEqual(t, after, before+1)
			require.LessOrEqual(t, after, cold+work/cold, "grew faster than work")
			require.LessOrEqual(t, clock.Span(after-cold)*rampPause, now.Sub(opened), "grew faster than time allows")
		}
	})
}

// TestGrantsNeverExceed checks that live grants never exceed the window while it does not shrink.
func TestGrantsNeverExceed(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		const keep = 100 * clock.Millisecond
		g := NewGrants(keep)
		window := rapid.Uint32Range(0, 20).Draw(t, "window")
		now := clock.Time(0)
		type held struct {
			grant uint32
			until clock.Time
		}
		live := map[string]held{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 40).Draw(t, "pause")))
			window += rapid.Uint32Range(0, 1).Draw(t, "growth")
			entry := fmt.Sprint("e", rapid.IntRange(0, 7).Draw(t, "entry"))
			live[entry] = held{grant: g.Ask(now, entry, window), until: now.Add(keep)}
			var sum uint32
			for _, h := range live {
				if h.until > now {
					sum += h.grant
				}
			}
			require.LessOrEqual(t, sum, window)
		}
	})
}

func askRound(g *Grants, now clock.Time, window uint32, entries ...string) (sum, least, most uint32) {
	least = window
	for _, entry := range entries {
		grant := g.Ask(now, entry, window)
		sum += grant
		least = min(least, grant)
		most = max(most, grant)
	}
	return sum, least, most
}

func TestGrants(t *testing.T) {
	t.Run("a late joiner has its fair part after one round", func(t *testing.T) {
		g := NewGrants(clock.Second)
		askRound(g, 0, 16, "a", "b")
		assert.Zero(t, g.Ask(1, "c", 16))
		askRound(g, 2, 16, "a", "b", "c")
		sum, least, most := askRound(g, 3, 16, "a", "b", "c")
		assert.Equal(t, uint32(16), sum)
		assert.LessOrEqual(t, most-least, uint32(1))
	})
	t.Run("the part of a silent entry comes back", func(t *testing.T) {
		g := NewGrants(clock.Second)
		askRound(g, 0, 16, "a", "b")
		assert.Equal(t, uint32(16), g.Ask(clock.Time(clock.Second), "a", 16))
	})
	t.Run("a shrunken window binds from the next round", func(t *testing.T) {
		g := NewGrants(clock.Second)
		askRound(g, 0, 16, "a", "b")
		askRound(g, 1, 2, "a", "b")
		sum, _, _ := askRound(g, 2, 2, "a", "b")
		assert.Equal(t, uint32(2), sum)
	})
	t.Run("a window smaller than the number of entries goes round", func(t *testing.T) {
		g := NewGrants(clock.Second)
		entries := []string{"a", "b", "c", "d", "e", "f"}
		served := map[string]bool{}
		for now := clock.Time(0); now < clock.Time(20*clock.Second); now += 100 {
			for _, entry := range entries {
				if g.Ask(now, entry, 2) > 0 {
					served[entry] = true
				}
			}
		}
		assert.Len(t, served, 6)
	})
}
