package balance

import (
	"math/rand/v2"
	"testing"
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
