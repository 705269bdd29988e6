package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carawaypick/pkg/clock"
)

func BenchmarkPick(b *testing.B) {
	picker := Picker{Random: rand.New(rand.NewPCG(1, 2)).Uint64}
	for name, count := range map[string]int{"16": 16, "320": 320} {
		b.Run(name, func(b *testing.B) {
			candidates := idleCandidates(count)
			for i := range b.N {
				picker.Pick(PickInfo{Fingerprint: uint64(i + 1), PrefixHash: uint64(i%64 + 1), Tokens: 100, Zone: "a"}, candidates)
			}
		})
	}
}

// BenchmarkQuarantined measures the check of each request against a full tracker: of a content that was in no crash, and
// of one that is quarantined, after another crash was recorded.
func BenchmarkQuarantined(b *testing.B) {
	const contentsPerCrash = 12 // concurrent requests of an engine
	s := NewSuspectTracker(clock.Hour)
	for i := range uint64(maxCrashes) {
		contents := make([]uint64, contentsPerCrash)
		for n := range contents {
			contents[n] = 1000 + i*contentsPerCrash + uint64(n)
		}
		s.AddCrash(Crash{ID: fmt.Sprint(i), Contents: append(contents, 1), At: 1})
	}
	b.Run("other content", func(b *testing.B) {
		for b.Loop() {
			s.Quarantined(2, 2)
		}
	})
	b.Run("quarantined content", func(b *testing.B) {
		for b.Loop() {
			s.Quarantined(2, 1)
		}
	})
	b.Run("quarantined content after news", func(b *testing.B) {
		for b.Loop() {
			s.verdicts = nil
			s.Quarantined(2, 1)
		}
	})
}
