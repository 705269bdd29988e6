package gateway

import (
	"maps"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	minTrialPause = clock.Second     // between the first two requests to registrations on trial at one address
	maxTrialPause = 4 * clock.Second // between any two of them; about as long as a registration outlives its backend server
)

// trial spaces out the requests to the registrations that are on trial at one address, however many there are.
type trial struct {
	next  clock.Time // time of the next request at the earliest
	pause clock.Span // ms after that
}

// startTrial counts a request to a registration on trial at the address; mu is held.
func (t *LoadTracker) startTrial(address string, now clock.Time) {
	pause := min(max(2*t.trials[address].pause, minTrialPause), maxTrialPause)
	t.trials[address] = trial{next: now.Add(pause), pause: pause}
}

// pruneTrials forgets the addresses that no longer have several registrations; mu is held.
func (t *LoadTracker) pruneTrials(v *routing.View) {
	if len(t.trials) == 0 {
		return
	}
	contested := make(map[string]bool)
	for id := range v.Contested {
		contested[v.Servers[id].Address] = true
	}
	maps.DeleteFunc(t.trials, func(address string, _ trial) bool { return !contested[address] })
}

// skipDoubted closes the endpoints of servers that may not be at their addresses if one of the others is open.
func skipDoubted(servers []*routing.Server, endpoints []balance.Endpoint) {
	for i, s := range servers {
		if !s.Doubted && endpoints[i].Closed() == "" {
			for k, o := range servers {
				endpoints[k].OnTrial = endpoints[k].OnTrial || o.Doubted
			}
			return
		}
	}
}
