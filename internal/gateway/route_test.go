package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// drawnEntry returns an entry in a state drawn from r.
func drawnEntry(r *rand.Rand, now *clock.Time) *Entry {
	s := Settings{Name: "e", Zone: "z", IP: "127.0.0.1", InternalPorts: []int{1, 2}, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10_000, DrainTime: 2000}
	if r.IntN(4) == 0 {
		s.Seeds = []string{"10.0.0.5:1"} // not heard yet, so the rates of servers are dealt to others
	}
	e := newEntry(s, testProtocol(), clock.Manual(now), telemetry.NewMetrics(), log.NewNopLogger())
	close(e.joined)
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].GapTarget = clock.Span(150 * r.IntN(2))
	}
	config.Services["s"] = routing.Service{Name: "s", ColdRate: 5, Engine: routing.Engine{StepMs: 5, StepMsPerRequest: 1, StepsPerPass: 5}}
	view := &routing.View{Config: config, Servers: map[string]*routing.Server{}, EvacuatedZones: map[string]bool{}}
	for i := range r.IntN(8) {
		server := &routing.Server{ID: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("h:", i), Zone: []string{"z", "y"}[r.IntN(2)], Slots: 1 + r.IntN(4), StartedAt: 1}
		if r.IntN(2) == 0 {
			server.Group = fmt.Sprint("g", r.IntN(2))
		}
		if r.IntN(8) == 0 {
			server.ColdUntil = now.Add(5000)
		}
		view.Servers[server.ID] = server
	}
	view.IndexServers(0)
	if r.IntN(50) > 0 {
		e.state.view.Store(view)
	}
	flights, common := make(map[string]int), r.IntN(40)
	for _, server := range view.Services["s"] {
		drawLoad(r, e.loads, server, *now, common)
		flights[server.ID] = r.IntN(3)
	}
	e.loads.SetPeerInFlight("10.0.0.9", flights)
	q := e.admission.queueOf(config.Services["s"])
	for range max(r.IntN(9)-5, 0) {
		q.waiting.RecordArrival(*now)
		q.waiting.Push(*now, &balance.Waiter[chan *rejection]{Priority: r.IntN(3), LatestOnTime: now.Add(clock.Span(r.IntN(500))), LatestUseful: now.Add(900), Value: make(chan *rejection, 1)}, 0)
	}
	q.reserved = max(r.IntN(6)-4, 0)
	if r.IntN(6) == 0 {
		q.limiter.ObserveGap(*now, 140)
	}
	if r.IntN(8) == 0 {
		for i := range 3 {
			e.suspects.addCrash(fmt.Sprint("c", i), fingerprint("t", "/safe/x", nil), false, nil)
			*now = now.Add(clock.Minute)
		}
	}
	*now = now.Add(clock.Span(r.IntN(300)))
	return e
}

// drawLoad draws the load and health of the server; a common kind below 9 is that of all servers.
func drawLoad(r *rand.Rand, loads *LoadTracker, s *routing.Server, now clock.Time, common int) {
	for range r.IntN(s.Slots + 1) {
		loads.start(s.ID, r.IntN(2) == 0, now)
	}
	kind := r.IntN(12)
	if common < 9 {
		kind = common
	}
	switch kind {
	case 0:
		loads.start(s.ID, false, now)
		loads.End(s.ID, balance.Unreachable)
	case 1:
		loads.RecordTurnedAway(s, 0)
	case 2:
		loads.RecordTurnedAway(s, 700)
	case 3:
		loads.RecordLeaving(s)
	case 4:
		loads.RecordNamedRate(s, 0.25, now)
		loads.start(s.ID, true, now)
	case 5:
		loads.TripGroup(s.Service + "/" + s.Group)
	case 6:
		loads.serverLoad(s.ID).turnAway.Reject(now, 0, 2, false)
		loads.serverLoad(s.ID).startedAt = 0 // an earlier incarnation
	}
}

// stateOf returns copies of all state that requests change.
func stateOf(e *Entry) []any {
	var metrics bytes.Buffer
	e.metrics.Set.WritePrometheus(&metrics)
	l := e.loads.clone(e.clock)
	return []any{
		l.servers, l.breakers, l.peerInFlight, l.peerTotals, l.namedRates, l.leaving, l.recovered, l.nextReport,
		e.admission.clone().services, len(e.retries.services), e.active.Load(), e.buffered.Load(), e.suspects.all(), metrics.String(), e.limitedLogger,
	}
}

// decide returns what the real code path decides on the request: the rejection, or the server unless the request waits.
func decide(e *Entry, q routeQuery, now clock.Time) (server *routing.Server, rej *rejection) {
	request := httptest.NewRequest(http.MethodPost, q.path, nil)
	request.Host = q.host
	c := &call{RequestHeaders: q.headers, request: request, path: q.path, start: now}
	if rej := e.validate(httptest.NewRecorder(), c); rej != nil {
		return nil, rej
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if rej := e.waitForAdmission(ctx, c); rej != nil {
		return nil, rej
	}
	return e.pickServer(c)
}

// TestExplanationAgrees guards against explanations that differ from what the entry does next, or that change what it does.
func TestExplanationAgrees(t *testing.T) {
	decisions := make(map[string]int)
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := clock.Time(1_000_000)
		e := drawnEntry(r, &now)
		q := routeQuery{host: "a", path: []string{"/safe/x", "/stream/x", "/unsafe/x", "/none"}[r.IntN(13)/4], headers: RequestHeaders{ID: "r", APIKey: "k", Timeout: 5000}}
		if r.IntN(20) == 0 {
			q.headers.APIKey = "unknown"
		}
		before := stateOf(e)
		got := e.explainRoute(q)
		for i, after := range stateOf(e) {
			require.True(t, reflect.DeepEqual(before[i], after), "seed %d: state %d changed: %v, %v", seed, i, before[i], after)
		}
		server, rej := decide(e, q, now)
		decisions[got.Decision+" "+got.Reason]++
		switch got.Decision {
		case AnswerReject:
			require.NotNil(t, rej, "seed %d: %+v", seed, got)
			assert.Equal(t, rej.status, got.Status)
			assert.Equal(t, rej.reason, got.Reason, "seed %d", seed)
			assert.Equal(t, rej.retryAfter > 0, got.RetryAfter > 0)
		case AnswerWait:
			require.NotNil(t, rej, "seed %d: %+v", seed, got)
			assert.Equal(t, reasonTimeOver, rej.reason, "seed %d", seed)
		default:
			require.Nil(t, rej, "seed %d: %+v", seed, rej)
			assertChance(t, got, server.ID)
		}
	}
	t.Log(decisions)
	assert.Greater(t, len(decisions), 8, "kinds of decisions")
}

// assertChance checks that the explanation gives the server a chance, and lists it first if no other one has any.
func assertChance(t *testing.T, x Explanation, server string) {
	t.Helper()
	sum, most := 0.0, ""
	chances := make(map[string]float64)
	for _, c := range x.Candidates {
		sum += c.Chance
		chances[c.ID] = c.Chance
		if c.ID == server {
			assert.Positive(t, c.Chance, "%+v", x)
			assert.Empty(t, c.Closed)
		}
		if c.Chance > 0.999 {
			most = c.ID
		}
	}
	assert.InDelta(t, 1, sum, 1e-9)
	require.NotEmpty(t, x.Tries)
	assert.True(t, slices.IsSortedFunc(x.Tries, func(a, b string) int { return cmp.Compare(chances[b], chances[a]) }))
	if most != "" {
		assert.Equal(t, most, x.Tries[0])
		assert.Equal(t, server, x.Tries[0])
	}
}

// TestRouteHandler guards against an answer that shows the key, and against parameters that are taken for others.
func TestRouteHandler(t *testing.T) {
	e, _ := newTestEntry(t)
	ask := func(query string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, RoutePath+query, nil)
		r.Header.Set("Key", "k")
		w := httptest.NewRecorder()
		e.metricsHandler().ServeHTTP(w, r)
		return w
	}
	w := ask("?host=a&path=/safe/x&prompt=700&output=90&deadline=300")
	require.Equal(t, http.StatusOK, w.Code)
	assert.NotContains(t, w.Body.String(), `"k"`)
	var x Explanation
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &x))
	assert.Equal(t, "safe t s", strings.Join([]string{x.Route, x.Team, x.Service}, " "))
	assert.Equal(t, AnswerReject, x.Decision, "no servers")
	assert.InDelta(t, 300, x.Stages[2].Figures["timeout-ms"], 0)
	for _, query := range []string{"", "?host=a", "?host=a&path=x", "?host=a&path=/x&prompt=-1", "?host=a&path=/x&deadline=x"} {
		assert.Equal(t, http.StatusBadRequest, ask(query).Code, query)
	}
}
