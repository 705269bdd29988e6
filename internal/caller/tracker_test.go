package caller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const pollInterval = clock.Second

// testInstances returns live agents a0, a1 and so on of the service "check" in zone z1.
func testInstances(count int) (agents []platform.Instance) {
	for i := range count {
		agents = append(agents, platform.Instance{
			Name: fmt.Sprint("a", i), Peer: fmt.Sprint("127.0.0.1:", 7000+i), Zone: "z1", Service: "check", State: platform.StateLive,
		})
	}
	return agents
}

func liveReport(name string, at uint64) *peerpb.Report {
	return &peerpb.Report{Name: name, Incarnation: 1, Clock: at, State: stateLive, Window: 4, Grant: 2}
}

func newTestTracker(now *clock.Time, count int) *AgentTracker {
	a := NewAgentTracker(clock.Manual(now), pollInterval)
	a.Update(testInstances(count))
	for i := range count {
		a.ReceiveReport(liveReport(fmt.Sprint("a", i), 10))
	}
	return a
}

// requireDown asserts for each agent of the service "check" whether it is marked as down.
func requireDown(t *testing.T, a *AgentTracker, state *ticket.State, want ...bool) {
	t.Helper()
	_, candidates := a.Candidates("check", state)
	require.Len(t, candidates, len(want))
	for i, c := range candidates {
		assert.Equal(t, want[i], c.Down, c.Name)
	}
}

func TestAgentTracker(t *testing.T) {
	t.Run("offers only agents that have reported", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 2)
		a.Update(testInstances(3))
		requireDown(t, a, &ticket.State{}, false, false, true)
	})
	t.Run("skips agents and zones that are out", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 2)
		zone := &ticket.State{Objects: ticket.Objects{Zones: map[string]*ticket.Zone{"z1": {State: "out"}}}}
		requireDown(t, a, zone, true, true)
		one := &ticket.State{Objects: ticket.Objects{Backends: map[string]*ticket.Backend{"a1": {State: "out"}}}}
		requireDown(t, a, one, false, true)
	})
	t.Run("skips leaving, unresponsive and unreachable agents", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 3)
		leaving := testInstances(3)
		leaving[0].State = platform.StateLeaving
		a.Update(leaving)
		a.MarkUnreachable("a1")
		requireDown(t, a, &ticket.State{}, true, true, false)
		now = now.Add(unreachableBackoff)
		requireDown(t, a, &ticket.State{}, true, false, false)
		now = now.Add(staleReportPeriods * pollInterval)
		requireDown(t, a, &ticket.State{}, true, true, true)
	})
	t.Run("reports are pending until all listed agents had time to report", func(t *testing.T) {
		now := clock.Time(0)
		a := NewAgentTracker(clock.Manual(&now), pollInterval)
		assert.True(t, a.ReportsPending("check"))
		assert.False(t, a.Ready())
		a.Update(testInstances(2))
		a.ReceiveReport(liveReport("a0", 10))
		assert.True(t, a.ReportsPending("check"))
		assert.False(t, a.ReportsPending("other"))
		a.ReceiveReport(liveReport("a1", 10))
		assert.False(t, a.ReportsPending("check"))
		assert.True(t, a.Ready())
		a.Update(testInstances(3))
		assert.True(t, a.ReportsPending("check"))
		now = now.Add(firstReportTimeout)
		assert.False(t, a.ReportsPending("check"), "no wait for an agent that never answers")
	})
	t.Run("reports are pending after a pause of this process", func(t *testing.T) {
		now := clock.Time(1)
		a := newTestTracker(&now, 1)
		a.DuePolls()
		assert.False(t, a.ReportsPending("check"))
		now = now.Add(staleReportPeriods * pollInterval)
		assert.True(t, a.ReportsPending("check"), "no polls since the pause")
		a.DuePolls()
		assert.True(t, a.ReportsPending("check"), "polls are in flight")
		for range 20 {
			now = now.Add(refreshInterval)
			a.DuePolls()
		}
		assert.False(t, a.ReportsPending("check"))
	})
	t.Run("keeps the newer of two reports of one incarnation", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 1)
		older := liveReport("a0", 9)
		older.State = "down"
		a.ReceiveReport(older)
		requireDown(t, a, &ticket.State{}, false)
		older.Incarnation = 2
		a.ReceiveReport(older)
		requireDown(t, a, &ticket.State{}, true)
	})
	t.Run("keeps a removed agent while it has outstanding work", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 1)
		a.BeginAttempt("a0", 7)
		a.Update(nil)
		requireDown(t, a, &ticket.State{}, true)
		a.EndAttempt("a0", 7)
		a.Update(nil)
		requireDown(t, a, &ticket.State{})
	})
	t.Run("polls each agent once per period, which grows with the number of agents", func(t *testing.T) {
		now := clock.Time(1)
		few := newTestTracker(&now, fullRateAgents)
		many := newTestTracker(&now, fullRateAgents+20)
		now = now.Add(pollInterval)
		assert.Len(t, few.DuePolls(), fullRateAgents)
		assert.Empty(t, few.DuePolls())
		assert.Empty(t, many.DuePolls(), "20 more agents make the period 4 s longer")
		now = now.Add(4 * clock.Second)
		assert.Len(t, many.DuePolls(), fullRateAgents+20)
	})
	t.Run("retries an agent that accepted no work, unless it is leaving", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 2)
		for i, state := range []string{"down", stateLeaving} {
			r := liveReport(fmt.Sprint("a", i), 11)
			r.State = state
			a.ReceiveReport(r)
		}
		requireDown(t, a, &ticket.State{}, true, true)
		now = now.Add(unavailableRetryAfter)
		requireDown(t, a, &ticket.State{}, false, true)
	})
	t.Run("doubles the backoff of an unreachable agent until its next report", func(t *testing.T) {
		now := clock.Time(0)
		a := newTestTracker(&now, 1)
		a.MarkUnreachable("a0")
		now = now.Add(unreachableBackoff)
		requireDown(t, a, &ticket.State{}, false)
		a.MarkUnreachable("a0")
		now = now.Add(unreachableBackoff)
		requireDown(t, a, &ticket.State{}, true)
		a.ReceiveReport(liveReport("a0", 12))
		requireDown(t, a, &ticket.State{}, false)
	})
}
