package choice

import "carawaypick/internal/balance"

// roundRobin takes the candidates in turn.
func roundRobin(e *entry, _ balance.Call) int {
	e.turn = (e.turn + 1) % len(e.candidates)
	return e.turn
}

// leastOutstanding takes the candidate with the fewest own requests, a random one among equals.
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

// rendezvous sends each prefix to its home whatever the load.
func rendezvous(e *entry, call balance.Call) int {
	i, _ := balance.Chooser{}.Pick(balance.Call{Fingerprint: call.Prefix, Suspect: true}, e.candidates)
	return i
}

// power returns the product's choice with the given tuning.
func power(tuning balance.Tuning) policy {
	return func(e *entry, call balance.Call) int {
		i, _ := balance.Chooser{Random: e.fleet.random.Uint64, Tuning: tuning}.Pick(call, e.candidates)
		return i
	}
}

// withoutEvents hides from a policy what cache events tell.
func withoutEvents(choose policy) policy {
	return func(e *entry, call balance.Call) int {
		for i := range e.candidates {
			e.candidates[i].Cached = false
		}
		return choose(e, call)
	}
}
