package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// newTwoServiceEntry returns an entry with coordinated admission that knows the services s and u.
func newTwoServiceEntry(t *testing.T, backends ...*fakeBackend) (e *Entry, address string) {
	t.Helper()
	e, address = newTestEntry(t, backends...)
	view := *e.state.View()
	config := testConfig()
	config.Routes[0].Priority = 1
	config.Services["u"] = routing.Service{Name: "u"}
	config.BuildIndex()
	view.Config = config
	e.state.view.Store(&view)
	require.True(t, e.coordinated())
	return e, address
}

// asks records requests of each of the teams, the first of which has as many as all others.
func asks(e *Entry, now clock.Time, service string, teams int) {
	q := e.admission.queueOf(routing.Service{Name: service})
	for i := range teams {
		for range 10 {
			q.teams.Record(now, 1, fmt.Sprint("team", i))
			q.teams.Record(now, 1, "team0")
			q.coordinated.RecordArrival(now, 1, 300)
		}
	}
}

// Guards against a team that gets the capacity of others by flooding another entry, and against reports that are too large.
func TestTeamReportsReachPeers(t *testing.T) {
	e, _ := newTwoServiceEntry(t)
	peer, _ := newTwoServiceEntry(t)
	now := peer.clock.Now()
	asks(peer, now, "s", 40)
	asks(peer, now, "u", 30)
	hb := heartbeat{Name: "p", IP: "127.0.0.2", Demand: peer.ownDemand()}
	content, err := datagram.Encode(hb.Demand)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(content), maxDemandSize)
	require.Len(t, hb.Demand, 2)
	assert.GreaterOrEqual(t, len(hb.Demand["s"].Teams.Teams), 6*10, "at least 10 teams of each service")
	assert.GreaterOrEqual(t, len(hb.Demand["u"].Teams.Teams), 6*10, "at least 10 teams of each service")
	e.receiveDemand(hb)
	for _, team := range []string{"team0", "small"} {
		e.admission.services["s"].teams.Record(e.clock.Now(), 1, team)
	}
	reject := func(team string) float64 {
		return e.admission.services["s"].coordinated.TeamReject(e.clock.Now(), 1, team, 0.3)
	}
	assert.Greater(t, reject("team0"), 0.3)
	assert.Zero(t, reject("small"))
}

// Guards against requests that are not counted for their team.
func TestRequestCountsForTeam(t *testing.T) {
	e, address := newTwoServiceEntry(t, newFakeBackend(t, respondOK))
	got, err := doRequest(t, t.Context(), "GET", address+"/safe/a", "")
	require.NoError(t, err)
	assert.Equal(t, 200, got.status)
	assert.NotEmpty(t, e.ownDemand()["s"].Teams.Teams)
}

// Guards against callers that are told to return later than they accept, or all at once.
func TestRetryAfterOfRejectedRequest(t *testing.T) {
	e, _ := newTwoServiceEntry(t)
	q := e.admission.queueOf(routing.Service{Name: "s"})
	told := make(map[clock.Span]bool)
	for range 100 {
		now := e.clock.Now()
		c := &call{start: now, deadline: now.Add(6000), route: &e.state.View().Config.Routes[2]}
		wait := e.retryAfter(q, q.newWaiter(c, now, 0), now)
		assert.True(t, wait >= 1000 && wait <= 2000, "%d ms while no capacity is in sight", wait)
		told[wait] = true
	}
	assert.Greater(t, len(told), 50)
	q.coordinated.Limit = 100
	q.coordinated.RecordEnd(0, 1000)
	now := e.clock.Now()
	c := &call{start: now, deadline: now.Add(6000), route: &e.state.View().Config.Routes[2]}
	assert.InDelta(t, 1000, float64(e.retryAfter(q, q.newWaiter(c, now, 0), now)), 1, "a sixth of the time though 100 starts a second are spare, so that the caller is told from a new one")
}
