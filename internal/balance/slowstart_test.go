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

func TestSlowStart(t *testing.T) {
	t.Run("the window does not grow with time alone", func(t *testing.T) {
		s := NewSlowStart(2, 16)
		assert.Equal(t, uint32(2), s.Window(clock.Time(clock.Hour)))
	})
	t.Run("the window does not grow with requests without tokens", func(t *testing.T) {
		s := NewSlowStart(2, 16)
		for now := range clock.Time(10_000) {
			s.Done(now, 0)
		}
		assert.Equal(t, uint32(2), s.Window(10_000))
	})
	t.Run("a burst of requests grows the window by one", func(t *testing.T) {
		s := NewSlowStart(2, 16)
		for range 1000 {
			s.Done(500, 10)
		}
		assert.Equal(t, uint32(3), s.Window(500))
	})
	t.Run("lowering the bounds shrinks the window", func(t *testing.T) {
		s := NewSlowStart(4, 16)
		s.SetBounds(1, 3)
		assert.Equal(t, uint32(3), s.Window(0))
	})
}

// TestSlowStartBounds checks that the window stays within its bounds and grows only after a window of completed requests.
func TestSlowStartBounds(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		minWindow := rapid.Uint32Range(1, 8).Draw(t, "cold")
		maxWindow := minWindow + rapid.Uint32Range(0, 20).Draw(t, "more")
		s := NewSlowStart(minWindow, maxWindow)
		now := clock.Time(0)
		var completed uint32
		var restartedAt clock.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 80).Draw(t, "pause")))
			if rapid.IntRange(0, 40).Draw(t, "step") == 0 {
				s.Restart(now)
				require.Equal(t, minWindow, s.Window(now))
				completed, restartedAt = 0, now
				continue
			}
			before := s.Window(now)
			s.Done(now, rapid.Uint32Range(0, 3).Draw(t, "tokens"))
			completed++
			after := s.Window(now)
			require.LessOrEqual(t, after, maxWindow)
			require.LessOrEqual(t, after, before+1)
			require.LessOrEqual(t, after, minWindow+completed/minWindow, "grew faster than the completed requests")
			require.LessOrEqual(t, clock.Span(after-minWindow)*growthInterval, now.Sub(restartedAt), "grew faster than time allows")
		}
	})
}

// TestGrantsNeverExceedWindow checks that the sum of current grants never exceeds a window that does not shrink.
func TestGrantsNeverExceedWindow(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		const ttl = 100 * clock.Millisecond
		g := NewGrants(ttl)
		window := rapid.Uint32Range(0, 20).Draw(t, "window")
		now := clock.Time(0)
		type heldGrant struct {
			grant uint32
			until clock.Time
		}
		current := map[string]heldGrant{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 40).Draw(t, "pause")))
			window += rapid.Uint32Range(0, 1).Draw(t, "growth")
			entry := fmt.Sprint("e", rapid.IntRange(0, 7).Draw(t, "entry"))
			current[entry] = heldGrant{grant: g.Renew(now, entry, window), until: now.Add(ttl)}
			var sum uint32
			for _, h := range current {
				if h.until > now {
					sum += h.grant
				}
			}
			require.LessOrEqual(t, sum, window)
		}
	})
}

func renewRound(g *Grants, now clock.Time, window uint32, entries ...string) (sum, lowest, highest uint32) {
	lowest = window
	for _, entry := range entries {
		grant := g.Renew(now, entry, window)
		sum += grant
		lowest = min(lowest, grant)
		highest = max(highest, grant)
	}
	return sum, lowest, highest
}

func TestGrants(t *testing.T) {
	t.Run("a new entry has its equal share after one round", func(t *testing.T) {
		g := NewGrants(clock.Second)
		renewRound(g, 0, 16, "a", "b")
		assert.Zero(t, g.Renew(1, "c", 16))
		renewRound(g, 2, 16, "a", "b", "c")
		sum, lowest, highest := renewRound(g, 3, 16, "a", "b", "c")
		assert.Equal(t, uint32(16), sum)
		assert.LessOrEqual(t, highest-lowest, uint32(1))
	})
	t.Run("the grant of an unresponsive entry expires", func(t *testing.T) {
		g := NewGrants(clock.Second)
		renewRound(g, 0, 16, "a", "b")
		assert.Equal(t, uint32(16), g.Renew(clock.Time(clock.Second), "a", 16))
	})
	t.Run("a smaller window applies from the next round", func(t *testing.T) {
		g := NewGrants(clock.Second)
		renewRound(g, 0, 16, "a", "b")
		renewRound(g, 1, 2, "a", "b")
		sum, _, _ := renewRound(g, 2, 2, "a", "b")
		assert.Equal(t, uint32(2), sum)
	})
	t.Run("a window smaller than the number of entries rotates among them", func(t *testing.T) {
		g := NewGrants(clock.Second)
		entries := []string{"a", "b", "c", "d", "e", "f"}
		served := map[string]bool{}
		for now := clock.Time(0); now < clock.Time(20*clock.Second); now += 100 {
			for _, entry := range entries {
				if g.Renew(now, entry, 2) > 0 {
					served[entry] = true
				}
			}
		}
		assert.Len(t, served, 6)
	})
}
