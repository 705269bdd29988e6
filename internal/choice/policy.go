package choice

import "carawaypick/internal/balance"

// roundRobin cycles through the candidates.
func roundRobin(e *entry, _ balance.Call) int {
	e.roundRobinIndex = (e.roundRobinIndex + 1) % len(e.candidates)
	return e.roundRobinIndex
}

// leastOutstanding picks the candidate with the fewest requests of this entry in flight, ties broken at random.
func leastOutstanding(e *entry, _ balance.Call) int {
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

// rendezvous picks by rendezvous hashing of the prefix, regardless of load.
func rendezvous(e *entry, info balance.Call) int {
	i, _ := balance.Chooser{}.Pick(balance.Call{Fingerprint: info.Prefix, Suspect: true}, e.candidates)
	return i
}

// productPolicy returns the policy that entries use in production, with the given configuration.
func productPolicy(config balance.Tuning) policy {
	return func(e *entry, info balance.Call) int {
		i, _ := balance.Chooser{Random: e.fleet.random.Uint64, Tuning: config}.Pick(info, e.candidates)
		return i
	}
}

// withoutCacheEvents returns pick with cache events hidden from it.
func withoutCacheEvents(pick policy) policy {
	return func(e *entry, info balance.Call) int {
		for i := range e.candidates {
			e.candidates[i].Cached = false
		}
		return pick(e, info)
	}
}
