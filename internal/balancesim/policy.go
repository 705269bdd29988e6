package balancesim

import "carawaypick/internal/balance"

// roundRobin cycles through the candidates.
func roundRobin(e *entry, _ balance.PickInfo) int {
	e.roundRobinIndex = (e.roundRobinIndex + 1) % len(e.candidates)
	return e.roundRobinIndex
}

// leastOutstanding picks the candidate with the fewest requests of this entry in flight, ties broken at random.
func leastOutstanding(e *entry, _ balance.PickInfo) int {
	n := len(e.candidates)
	best := e.fleet.random.IntN(n)
	start := best
	for k := range n {
		i := (start + k) % n
		if e.candidates[i].Outstanding < e.candidates[best].Outstanding {
			best = i
		}
	}
	return best
}

// rendezvous picks by rendezvous hashing of the prefix regardless of load; it uses the picker's handling of requests whose
// content was in flight at a crash.
func rendezvous(e *entry, info balance.PickInfo) int {
	i, _ := balance.Picker{}.Pick(balance.PickInfo{Fingerprint: info.PrefixHash, Suspect: true}, e.candidates)
	return i
}

// productionPolicy returns the policy that entries use in production, with the given configuration.
func productionPolicy(config balance.PickerConfig) policy {
	return func(e *entry, info balance.PickInfo) int {
		i, _ := balance.Picker{Random: e.fleet.random.Uint64, Config: config}.Pick(info, e.candidates)
		return i
	}
}

// withoutCacheEvents returns pick with cache events hidden from it.
func withoutCacheEvents(pick policy) policy {
	return func(e *entry, info balance.PickInfo) int {
		for i := range e.candidates {
			e.candidates[i].PrefixCached = false
		}
		return pick(e, info)
	}
}
