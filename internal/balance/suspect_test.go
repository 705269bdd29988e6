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
	const retention = 100 * clock.Second
	first := Crash{ID: "a.1", Contents: []uint64{1, 2, 3}, At: 1000}
	t.Run("one crash makes suspects and quarantines none", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		assert.True(t, s.AddCrash(first))
		for _, content := range first.Contents {
			assert.True(t, s.Suspected(1000, content))
			requireQuarantined(t, s, 1000, content, 0)
		}
		assert.False(t, s.Suspected(1000, 4))
	})
	t.Run("a crash reported twice counts once", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		assert.False(t, s.AddCrash(Crash{ID: "a.1", Contents: []uint64{1, 2, 3}, At: 1500}))
		requireQuarantined(t, s, 1500, 1, 0)
	})
	t.Run("a second crash, in isolation, quarantines only the isolated content, for a time", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{1}, Isolated: true, At: 2000})
		requireQuarantined(t, s, 2000, 1, retention)
		requireQuarantined(t, s, 2000, 2, 0)
		requireQuarantined(t, s, clock.Time(2000).Add(retention), 1, 0)
	})
	t.Run("two crashes with other contents in flight quarantine for a shorter time", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{1, 9}, At: 1000})
		requireQuarantined(t, s, 1000, 1, retention/sharedCrashDivisor)
		requireQuarantined(t, s, 1000, 9, 0)
	})
	t.Run("a completed run clears a suspect, also after an outage", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{1, 9}, At: 1100})
		s.RecordCompleted(1200, 1)
		assert.False(t, s.Suspected(1200, 1))
		requireQuarantined(t, s, 1200, 1, 0)
		assert.True(t, s.Suspected(1200, 2))
	})
	t.Run("a crash after the completed run counts again", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		s.RecordCompleted(1200, 1)
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{1}, At: 1300})
		assert.True(t, s.Suspected(1300, 1))
		requireQuarantined(t, s, 1300, 1, 0)
	})
	t.Run("content that many callers send is not quarantined by a rack failure", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.RecordCompleted(900, 1)
		s.AddCrash(first)
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{1, 9}, At: 1001})
		assert.True(t, s.Suspected(1002, 1))
		requireQuarantined(t, s, 1002, 1, 0)
		s.AddCrash(Crash{ID: "c.1", Contents: []uint64{1}, Isolated: true, At: 1003})
		_, quarantined := s.Quarantined(1004, 1)
		assert.True(t, quarantined, "a crash in isolation still quarantines it")
	})
	t.Run("an unlikely cause is quarantined after three crashes", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		for i, id := range []string{"a.1", "b.1", "c.1"} {
			requireQuarantined(t, s, 1000, 1, 0)
			s.AddCrash(Crash{ID: id, Contents: []uint64{1}, Unlikely: []uint64{1}, At: 1000})
			s.AddCrash(Crash{ID: id + "2", Contents: []uint64{2}, At: 1000})
			_, quarantined := s.Quarantined(1000, 2)
			assert.Equal(t, i > 0, quarantined, "a likely cause is quarantined after two")
		}
		requireQuarantined(t, s, 1000, 1, retention/sharedCrashDivisor)
		assert.Equal(t, []string{"a.1", "b.1", "c.1"}, s.CrashesWith(1000, 1))
	})
	t.Run("content that was in flight beside two causes is released once these crash other servers", func(t *testing.T) {
		const innocent, first, second = 1, 2, 3
		s := NewSuspectTracker(retention)
		s.AddCrash(Crash{ID: "a.1", Contents: []uint64{innocent, first}, At: 1000})
		s.AddCrash(Crash{ID: "b.1", Contents: []uint64{innocent, second}, At: 1000})
		_, quarantined := s.Quarantined(1000, innocent)
		assert.True(t, quarantined)
		for i, id := range []string{"c.1", "d.1"} {
			s.AddCrash(Crash{ID: id, Contents: []uint64{first}, At: 1001})
			s.AddCrash(Crash{ID: id + "2", Contents: []uint64{second}, At: 1001})
			_, quarantined = s.Quarantined(1001, innocent)
			assert.Equal(t, i == 0, quarantined)
		}
		for _, cause := range []uint64{first, second} {
			_, quarantined = s.Quarantined(1001, cause)
			assert.True(t, quarantined)
		}
	})
	t.Run("a content is quarantined even if each of its crashes has another cause", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		for i := range uint64(quarantineWeight) {
			for n := range quarantineWeight {
				s.AddCrash(Crash{ID: fmt.Sprint(n, "alone", i), Contents: []uint64{100 + i}, At: 1000})
			}
			s.AddCrash(Crash{ID: fmt.Sprint("d", i), Contents: []uint64{1, 100 + i}, At: 1000})
			_, quarantined := s.Quarantined(1000, 1)
			assert.Equal(t, i == quarantineWeight-1, quarantined)
		}
	})
	t.Run("reports of one crash are merged", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(Crash{ID: "a.1", Contents: []uint64{1, 2}, Unlikely: []uint64{1, 2}, At: 1000})
		assert.True(t, s.AddCrash(Crash{ID: "a.1", Contents: []uint64{2, 3}, At: 1001}))
		assert.Equal(t, []Crash{{ID: "a.1", Contents: []uint64{1, 2, 3}, Unlikely: []uint64{1}, At: 1000}}, s.Crashes(1000))
	})
	t.Run("content that completed before is quarantined if it crashes servers one after the other", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.RecordCompleted(900, 1)
		for i := range clock.Time(crashMoments) {
			requireQuarantined(t, s, 1000, 1, 0)
			at := 1000 + i*clock.Time(momentGap)
			s.AddCrash(Crash{ID: fmt.Sprint("a", i), Contents: []uint64{1}, At: at})
			s.AddCrash(Crash{ID: fmt.Sprint("b", i), Contents: []uint64{1}, At: at + 1})
		}
		_, quarantined := s.Quarantined(4000, 1)
		assert.True(t, quarantined)
		s.RecordCompleted(4001, 1)
		requireQuarantined(t, s, 4001, 1, 0)
	})
	t.Run("a full tracker keeps the latest crashes in any order of the reports", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		for i := range maxCrashes {
			s.AddCrash(Crash{ID: fmt.Sprint(i), Contents: []uint64{1}, At: 1000})
		}
		assert.False(t, s.AddCrash(Crash{ID: "older", Contents: []uint64{2}, At: 999}))
		assert.False(t, s.Suspected(1000, 2))
		assert.True(t, s.AddCrash(Crash{ID: "newer", Contents: []uint64{3}, At: 1001}))
	})
	t.Run("crashes expire", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		s.AddCrash(first)
		assert.False(t, s.Suspected(first.At.Add(retention), 1))
		assert.Empty(t, s.Crashes(first.At.Add(retention)))
	})
	t.Run("memory is bounded", func(t *testing.T) {
		s := NewSuspectTracker(retention)
		contents := make([]uint64, 2*maxContents)
		for i := range contents {
			contents[i] = uint64(i)
		}
		for i := range 10 * maxCrashes {
			s.AddCrash(Crash{ID: fmt.Sprint(i), Contents: contents, At: clock.Time(i)})
		}
		for i := range uint64(2 * maxCompleted) {
			s.RecordCompleted(10, i)
		}
		assert.Len(t, s.completed, maxCompleted)
		assert.Len(t, s.completedOrder, maxCompleted)
		crashes := s.Crashes(10)
		assert.Len(t, crashes, maxCrashes)
		assert.Len(t, crashes[0].Contents, maxContents)
	})
}

func requireQuarantined(t *testing.T, s *SuspectTracker, now clock.Time, content uint64, want clock.Span) {
	t.Helper()
	remaining, quarantined := s.Quarantined(now, content)
	assert.Equal(t, want > 0, quarantined)
	assert.Equal(t, want, remaining)
}

// TestSuspectsMerge checks that trackers agree after the same crashes in any order.
func TestSuspectsMerge(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(drawCrash), 1, 8).Draw(t, "crashes")
		for i := range crashes {
			crashes[i].ID = fmt.Sprint(i % 5) // some crashes are reported twice, with other contents
		}
		a, b := NewSuspectTracker(clock.Minute), NewSuspectTracker(clock.Minute)
		for _, c := range crashes {
			a.AddCrash(c)
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "order") {
			b.AddCrash(c)
		}
		now := clock.Time(rapid.IntRange(100, 70_000).Draw(t, "now"))
		for content := range uint64(6) {
			require.Equal(t, a.Suspected(now, content), b.Suspected(now, content))
			remainingA, quarantinedA := a.Quarantined(now, content)
			remainingB, quarantinedB := b.Quarantined(now, content)
			require.Equal(t, quarantinedA, quarantinedB)
			require.Equal(t, remainingA, remainingB)
		}
	})
}

func drawCrash(t *rapid.T) Crash {
	contents := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 5), 1, 4, rapid.ID[uint64]).Draw(t, "contents")
	return Crash{
		Contents: contents,
		Unlikely: contents[:rapid.IntRange(0, len(contents)).Draw(t, "unlikely")],
		At:       clock.Time(rapid.IntRange(0, 100).Draw(t, "at")),
	}
}

// TestSuspectsAtMostTwoCrashes checks that a content that crashes every backend server crashes at most two of them, even if
// its caller sends it to many entries at once, and that other contents complete. Crash reports arrive without delay.
func TestSuspectsAtMostTwoCrashes(t *testing.T) {
	const poison = 1
	testkit.Property(t, func(t *rapid.T) {
		s := NewSuspectTracker(clock.Hour)
		servers := rapid.IntRange(3, 8).Draw(t, "servers")
		candidates := make([]Candidate, servers)
		for i := range candidates {
			candidates[i] = Candidate{Name: fmt.Sprint("server", i), ReportedTokens: uint64(rapid.IntRange(0, 100).Draw(t, "load"))}
		}
		random := func() uint64 { return rapid.Uint64().Draw(t, "random") }
		copies := rapid.IntRange(1, 8).Draw(t, "copies")
		inFlight := map[int][]uint64{}
		for range copies {
			i, ok := Picker{Random: random}.Pick(PickInfo{Fingerprint: poison, PrefixHash: 77, Tokens: 50}, candidates)
			require.True(t, ok)
			inFlight[i] = []uint64{poison}
		}
		for content := uint64(2); content < 6; content++ {
			i, _ := Picker{Random: random}.Pick(PickInfo{Fingerprint: content, Tokens: 50}, candidates)
			inFlight[i] = append(inFlight[i], content)
		}
		now := clock.Time(10)
		var crashed int
		var retried []uint64
		for i := range candidates {
			contents := inFlight[i]
			if len(contents) == 0 || contents[0] != poison {
				continue
			}
			s.AddCrash(Crash{ID: fmt.Sprint("first", i), Contents: contents, At: now})
			retried = append(retried, contents...)
			candidates[i].Down = true
			crashed++
		}
		for _, content := range retried {
			now++
			if _, quarantined := s.Quarantined(now, content); quarantined {
				require.Equal(t, uint64(poison), content)
				continue
			}
			i, ok := Picker{Random: random}.Pick(PickInfo{Fingerprint: content, Suspect: s.Suspected(now, content)}, candidates)
			require.True(t, ok)
			if content != poison {
				s.RecordCompleted(now, content)
				continue
			}
			s.AddCrash(Crash{ID: "alone", Contents: []uint64{poison}, Isolated: true, At: now})
			candidates[i].Down = true
			crashed++
		}
		require.LessOrEqual(t, crashed, 2)
		_, quarantined := s.Quarantined(now, poison)
		require.True(t, quarantined)
	})
}
