package backend

import (
	"context"

	"carawaypick/internal/peer/peerpb"
)

// Poll returns the agent's load to an entry.
func (a *Agent) Poll(_ context.Context, request *peerpb.PollRequest) (*peerpb.Report, error) {
	a.member.ReceiveDigest(request.GetDigest(), "")
	a.member.AddEvidence(request.GetEvidence()...)
	return a.report(request.GetEntry()), nil
}

// report returns the agent's load, with the entry's grant if an entry is given and the agent is live.
func (a *Agent) report(entry string) *peerpb.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	window := a.slowStart.Window(now)
	r := &peerpb.Report{
		Name:        a.settings.Name,
		Incarnation: a.incarnation,
		Clock:       uint64(now),
		State:       a.currentState(),
		Window:      window,
		Running:     uint32(len(a.running)),
		Queued:      uint32(a.queue.Len() + len(a.suspectQueue)),
		Tokens:      a.queue.QueuedTokens() + a.runningTokens(),
		Rate:        a.throughput.rate(),
		Load:        a.load.Tokens,
		Age:         uint64(max(now.Sub(a.loadedAt)+a.load.Age, 0)),
		Life:        uint64(a.settings.Timing.BindingLifetime),
		Digest:      a.member.Digest(),
	}
	if r.State == StateLive && entry != "" {
		r.Grant = a.grants.Renew(now, entry, window)
	}
	a.telemetry.Metrics.SlowStartWindow.Set(float64(window))
	a.telemetry.Metrics.Running.Set(float64(r.Running))
	a.telemetry.Metrics.Queued.Set(float64(r.Queued))
	return r
}

// runningTokens returns the expected tokens of running work; mu is held.
func (a *Agent) runningTokens() (sum uint64) {
	for w := range a.running {
		sum += uint64(w.request.GetTokens())
	}
	return sum
}

// runningTeamTokens returns the expected tokens of a team's running work; mu is held.
func (a *Agent) runningTeamTokens(team string) (sum uint64) {
	for w := range a.running {
		if w.request.GetTeam() == team {
			sum += uint64(w.request.GetTokens())
		}
	}
	return sum
}
