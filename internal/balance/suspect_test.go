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

func TestSuspects(t *testing.T) {
	const keep = 100 * clock.Second
	first := Crash{Name: "a.1", Contents: []uint64{1, 2, 3}, At: 1000}
	t.Run("one crash makes suspects and condemns nobody", func(t *testing.T) {
		s := NewSuspects(keep)
		assert.True(t, s.Add(first))
		for _, content := range first.Contents {
			assert.True(t, s.Suspect(1000, content))
			requireCondemned(t, s, 1000, content, 0)
		}
		assert.False(t, s.Suspect(1000, 4))
	})
	t.Run("the same crash told twice counts once", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		assert.False(t, s.Add(Crash{Name: "a.1", Contents: []uint64{1, 2, 3}, At: 1500}))
		requireCondemned(t, s, 1500, 1, 0)
	})
	t.Run("a second crash while alone condemns for a time, and only that content", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		s.Add(Crash{Name: "b.1", Contents: []uint64{1}, Alone: true, At: 2000})
		requireCondemned(t, s, 2000, 1, keep)
		requireCondemned(t, s, 2000, 2, 0)
		requireCondemned(t, s, clock.Time(2000).Add(keep), 1, 0)
	})
	t.Run("two crashes together with others condemn for a shorter time", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		s.Add(Crash{Name: "b.1", Contents: []uint64{1, 9}, At: 1000})
		requireCondemned(t, s, 1000, 1, keep/shortPart)
		requireCondemned(t, s, 1000, 9, 0)
	})
	t.Run("a whole run clears, also of a popular content in flight at an outage", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		s.Add(Crash{Name: "b.1", Contents: []uint64{1, 9}, At: 1100})
		s.Whole(1200, 1)
		assert.False(t, s.Suspect(1200, 1))
		requireCondemned(t, s, 1200, 1, 0)
		assert.True(t, s.Suspect(1200, 2))
	})
	t.Run("a crash after the whole run counts again", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		s.Whole(1200, 1)
		s.Add(Crash{Name: "b.1", Contents: []uint64{1}, At: 1300})
		assert.True(t, s.Suspect(1300, 1))
		requireCondemned(t, s, 1300, 1, 0)
	})
	t.Run("content that many send is not condemned by the failure of a rack", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Whole(900, 1)
		s.Add(first)
		s.Add(Crash{Name: "b.1", Contents: []uint64{1, 9}, At: 1001})
		assert.True(t, s.Suspect(1002, 1))
		requireCondemned(t, s, 1002, 1, 0)
		s.Add(Crash{Name: "c.1", Contents: []uint64{1}, Alone: true, At: 1003})
		_, condemned := s.Condemned(1004, 1)
		assert.True(t, condemned, "a crash alone condemns it all the same")
	})
	t.Run("evidence expires", func(t *testing.T) {
		s := NewSuspects(keep)
		s.Add(first)
		assert.False(t, s.Suspect(first.At.Add(keep), 1))
		assert.Empty(t, s.Crashes(first.At.Add(keep)))
	})
	t.Run("memory is bounded", func(t *testing.T) {
		s := NewSuspects(keep)
		for i := range 10 * maxCrashes {
			s.Add(Crash{Name: fmt.Sprint(i), Contents: make([]uint64, 2*maxContents), At: clock.Time(i)})
		}
		for i := range uint64(2 * maxWhole) {
			s.Whole(10, i)
		}
		assert.Len(t, s.whole, maxWhole)
		assert.Len(t, s.order, maxWhole)
		crashes := s.Crashes(10)
		assert.Len(t, crashes, maxCrashes)
		assert.Len(t, crashes[0].Contents, maxContents)
	})
}

func requireCondemned(t *testing.T, s *Suspects, now clock.Time, content uint64, want clock.Span) {
	t.Helper()
	after, condemned := s.Condemned(now, content)
	assert.Equal(t, want > 0, condemned)
	assert.Equal(t, want, after)
}

// TestSuspectsMerge checks that records that heard the same crashes in any order agree.
func TestSuspectsMerge(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(drawCrash), 1, 8).Draw(t, "crashes")
		for i := range crashes {
			crashes[i].Name = fmt.Sprint(i)
		}
		a, b := NewSuspects(clock.Minute), NewSuspects(clock.Minute)
		for _, c := range crashes {
			a.Add(c)
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "heard") {
			b.Add(c)
		}
		now := clock.Time(rapid.IntRange(100, 70_000).Draw(t, "now"))
		for content := range uint64(6) {
			require.Equal(t, a.Suspect(now, content), b.Suspect(now, content))
			afterA, condemnedA := a.Condemned(now, content)
			afterB, condemnedB := b.Condemned(now, content)
			require.Equal(t, condemnedA, condemnedB)
			require.Equal(t, afterA, afterB)
		}
	})
}

func drawCrash(t *rapid.T) Crash {
	return Crash{
		Contents: rapid.SliceOfNDistinct(rapid.Uint64Range(0, 5), 1, 4, rapid.ID[uint64]).Draw(t, "contents"),
		At:       clock.Time(rapid.IntRange(0, 100).Draw(t, "at")),
	}
}

// TestSuspectsTwoLost checks that a content that crashes every backend server costs at most two of them, though its
// caller sends it to many entries at once, and that neighbours end whole. Evidence is known with the crash itself.
func TestSuspectsTwoLost(t *testing.T) {
	const bad = 1
	testkit.Property(t, func(t *rapid.T) {
		s := NewSuspects(clock.Hour)
		servers := rapid.IntRange(3, 8).Draw(t, "servers")
		candidates := make([]Candidate, servers)
		for i := range candidates {
			candidates[i] = Candidate{Name: fmt.Sprint("server", i), Load: uint64(rapid.IntRange(0, 100).Draw(t, "load"))}
		}
		random := func() uint64 { return rapid.Uint64().Draw(t, "random") }
		copies := rapid.IntRange(1, 8).Draw(t, "copies")
		inFlight := map[int][]uint64{}
		for range copies {
			i, ok := Chooser{Random: random}.Pick(Call{Fingerprint: bad, Prefix: 77, Tokens: 50}, candidates)
			require.True(t, ok)
			inFlight[i] = []uint64{bad}
		}
		for content := uint64(2); content < 6; content++ {
			i, _ := Chooser{Random: random}.Pick(Call{Fingerprint: content, Tokens: 50}, candidates)
			inFlight[i] = append(inFlight[i], content)
		}
		now := clock.Time(10)
		var lost int
		var rerun []uint64
		for i := range candidates {
			contents := inFlight[i]
			if len(contents) == 0 || contents[0] != bad {
				continue
			}
			s.Add(Crash{Name: fmt.Sprint("wave", i), Contents: contents, At: now})
			rerun = append(rerun, contents...)
			candidates[i].Down = true
			lost++
		}
		for _, content := range rerun {
			now++
			if _, condemned := s.Condemned(now, content); condemned {
				require.Equal(t, uint64(bad), content)
				continue
			}
			i, ok := Chooser{Random: random}.Pick(Call{Fingerprint: content, Suspect: s.Suspect(now, content)}, candidates)
			require.True(t, ok)
			if content != bad {
				s.Whole(now, content)
				continue
			}
			s.Add(Crash{Name: "alone", Contents: []uint64{bad}, Alone: true, At: now})
			candidates[i].Down = true
			lost++
		}
		require.LessOrEqual(t, lost, 2)
		_, condemned := s.Condemned(now, bad)
		require.True(t, condemned)
	})
}
