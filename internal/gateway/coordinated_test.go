package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/overload"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// newCoordinatedEntry returns an entry whose service is used by routes of two priorities, and its URL for callers.
func newCoordinatedEntry(t *testing.T, backends ...*fakeBackend) (e *Entry, url string) {
	t.Helper()
	e, url = newTestEntry(t, backends...)
	require.False(t, e.coordinated())
	assert.Nil(t, e.ownDemand(), "heartbeats stay as they are without coordinated admission")
	view := *e.state.View()
	config := *view.Config
	config.Routes[1].Priority = 1
	view.Config = &config
	e.state.view.Store(&view)
	require.True(t, e.coordinated())
	return e, url
}

// TestCoordinatedAdmission guards against requests that wait before they are rejected, and against callers that are told to
// return later than they do.
func TestCoordinatedAdmission(t *testing.T) {
	release := make(chan struct{})
	backend := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		<-release
		respond(conn, r, "200 OK\nId: $ID\nSeal: s\nContent-Length: 18\n\nid: 1\ndata: a\n\n")
	})
	e, url := newCoordinatedEntry(t, backend)
	var logged, metrics bytes.Buffer
	e.limitedLogger.Logger = log.NewLogfmtLogger(log.NewSyncWriter(&logged))
	ctx, cancel := context.WithCancel(t.Context())
	dispatched := lifecycle.Start(ctx, e.admissionLoop)
	var work sync.WaitGroup
	var rejected atomic.Int64
	send := func() {
		work.Go(func() {
			start := time.Now()
			got, err := doRequest(t, t.Context(), http.MethodGet, url+"/stream/x", "")
			if !assert.NoError(t, err) || got.status == http.StatusOK {
				return
			}
			rejected.Add(1)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.Less(t, time.Since(start), 500*time.Millisecond, "it waited")
			after, err := strconv.Atoi(got.header.Get("Retry-After"))
			assert.NoError(t, err)
			assert.GreaterOrEqual(t, after, 800)
			assert.LessOrEqual(t, after, 5000/3, "a third of the time that the caller has")
		})
	}
	for n := range 4 { // the slots of the server
		send()
		require.Eventually(t, func() bool { return backend.count() == n+1 }, 3*time.Second, time.Millisecond)
	}
	time.Sleep(dispatchInterval.Duration()) // a request that is being sent counts twice for a moment
	for range 40 {
		send()
	}
	time.Sleep(time.Second)
	close(release)
	work.Wait()
	cancel()
	require.NoError(t, <-dispatched)
	assert.GreaterOrEqual(t, rejected.Load(), int64(20))
	e.metrics.Write(&metrics)
	assert.Contains(t, metrics.String(), fmt.Sprintf(`overload_rejections_total{service="s",priority="0"} %d`, rejected.Load()))
	assert.Contains(t, metrics.String(), `overload_wait_ms{service="s"}`)
	assert.Regexp(t, `msg=overload service=s waiting=\S+ wait=\d+ rejecting=0:0\.\d+ starts=\d+ peers=0 age=0`, logged.String())
	q := e.admission.services["s"]
	assert.Zero(t, q.reserved)
	assert.Positive(t, q.coordinated.Demand(e.clock.Now()).Ends)
}

// TestReturningCallerIsLate guards against a returning caller that counts as a new one, at a route whose timeout is longer than
// its callers wait.
func TestReturningCallerIsLate(t *testing.T) {
	a := newAdmission()
	q := a.queueOf(routing.Service{Name: "s"})
	route := &routing.Route{Name: "r", Kind: routing.Stream, Timeout: 20 * clock.Second, LatencyTarget: 500}
	arrive := func(now clock.Time, timeout clock.Span) (used clock.Span, late bool) {
		c := &call{route: route, start: now, deadline: now.Add(timeout), RequestHeaders: RequestHeaders{Timeout: timeout}}
		used = a.usedTime(now, c)
		return used, q.newWaiter(c, now, used).LatestOnTime <= now
	}
	used, late := arrive(1000, 8000)
	assert.Zero(t, used)
	assert.False(t, late)
	used, _ = arrive(1100, 7900)
	assert.Zero(t, used, "time limits differ a little")
	used, late = arrive(1200, 6000)
	assert.Equal(t, 2*clock.Second, used)
	assert.True(t, late)
	used, _ = arrive(1300, 0)
	assert.Zero(t, used, "the caller names no time")
	used, _ = arrive(70_000, 6000)
	assert.Zero(t, used, "the callers wait for less by now")
}

// TestDemandInHeartbeat guards against demand that does not reach the other entries, or that fills the heartbeat.
func TestDemandInHeartbeat(t *testing.T) {
	e, _ := newCoordinatedEntry(t)
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.2", Number: 1, Demand: map[string]overload.Demand{
		"s":       {Levels: []overload.LevelDemand{{Level: 1, Waiting: 7, Arrivals: 100}}, Starts: 300},
		"unknown": {Levels: []overload.LevelDemand{{Level: 1, Waiting: 7}}},
	}})
	require.Len(t, e.admission.services, 1, "a service that the configuration lacks is ignored")
	status := e.admission.services["s"].coordinated.Status(e.clock.Now())
	assert.Equal(t, 1, status.Peers)
	assert.InDelta(t, 7, status.Waiting[1], 0.5)
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.2", Number: 2, Demand: map[string]overload.Demand{"other": {}}})
	assert.InDelta(t, 0, e.admission.services["s"].coordinated.Status(e.clock.Now()).Waiting[1], 0.5, "it is idle at the peer")
	for i := range 30 {
		q := e.admission.queueOf(routing.Service{Name: fmt.Sprint("service-", i)})
		for l := range overload.Levels {
			q.coordinated.RecordArrival(e.clock.Now(), l, 300)
		}
	}
	content, err := datagram.Encode(e.ownDemand())
	require.NoError(t, err)
	assert.LessOrEqual(t, len(content), maxDemandSize+3)
	assert.NotEmpty(t, e.ownDemand())
}

// TestUnusedAdmissionEnds guards against a request that is admitted while its time ends, and counts as in flight from then on.
func TestUnusedAdmissionEnds(t *testing.T) {
	e, _ := newCoordinatedEntry(t)
	q := e.admission.queueOf(routing.Service{Name: "s"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	left := 0
	for range 64 { // both ends are ready, so that either may be seen first
		c := &call{}
		w := &overload.Waiter[turn]{Value: turn{call: c, result: make(chan *rejection, 1)}}
		e.admission.mu.Lock()
		q.coordinated.RecordStart(e.clock.Now())
		e.admitWaiter(q, w)
		e.admission.mu.Unlock()
		if e.waitInQueue(ctx, c, q, w) != nil {
			left++
		} else {
			q.coordinated.RecordEnd(e.clock.Now(), 0)
		}
		e.releaseReservation(c)
	}
	require.Positive(t, left)
	assert.Zero(t, q.reserved)
	demand := q.coordinated.Demand(e.clock.Now())
	assert.InDelta(t, demand.Starts, demand.Ends, 1)
}

// TestRejectionBesideTimeout guards against a request that is rejected with a Retry-After while its time ends, and whose caller
// does not get it.
func TestRejectionBesideTimeout(t *testing.T) {
	e, _ := newCoordinatedEntry(t)
	q := e.admission.queueOf(routing.Service{Name: "s"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 64 { // both ends are ready, so that either may be seen first
		c := &call{}
		w := &overload.Waiter[turn]{Value: turn{call: c, result: make(chan *rejection, 1)}}
		w.Value.result <- &rejection{status: http.StatusServiceUnavailable, retryAfter: 700}
		rej := e.waitInQueue(ctx, c, q, w)
		require.NotNil(t, rej)
		require.Equal(t, 700*clock.Millisecond, rej.retryAfter)
		require.Nil(t, c.reservedIn)
	}
}

// TestUrgency guards against requests of urgent routes that are rejected before less urgent ones because all teams have one
// priority.
func TestUrgency(t *testing.T) {
	urgency := func(team routing.Team, route int) int {
		return (&call{team: team, route: &routing.Route{Priority: route}}).urgency()
	}
	first, second := routing.Team{HasPriority: true}, routing.Team{HasPriority: true, Priority: 1}
	assert.Less(t, urgency(second, 0), urgency(second, 1), "by route among equal teams")
	assert.Less(t, urgency(first, 9), urgency(second, 0), "by team first")
	assert.Equal(t, 2, urgency(routing.Team{}, 2), "by route without a team's priority")
	assert.Equal(t, 0, urgency(routing.Team{HasPriority: true, Priority: -1}, -1), "never negative")
}
