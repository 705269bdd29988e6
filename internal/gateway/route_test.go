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
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/balance"
	"carawaypick/internal/overload"
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
	if r.IntN(3) == 0 {
		config.Routes[1].Priority = 1
		drawCoordinated(r, e, q, view, *now)
	}
	return e
}

// drawCoordinated draws the state of coordinated admission.
func drawCoordinated(r *rand.Rand, e *Entry, q *serviceQueue, view *routing.View, now clock.Time) {
	e.loads.Coordinated = e.coordinated
	load, asleep := float64(max(r.IntN(6)-2, 0)), clock.Span(r.IntN(400))
	at := now.Add(-500)
	for i := range r.IntN(4) {
		d := overload.Demand{Starts: r.IntN(4000), Ends: r.IntN(4000), Flight: clock.Span(r.IntN(2000))}
		for l := range overload.Levels {
			d.Levels = append(d.Levels, overload.LevelDemand{Level: l, Waiting: int(load * float64(r.IntN(3))), Arrivals: int(load * float64(r.IntN(800)))})
		}
		q.coordinated.SetReport(at, fmt.Sprint("10.0.1.", i), d)
		var teams overload.TeamDemand
		for n := range 40 {
			teams.Record(at, n%3, fmt.Sprint("u", n%4))
		}
		q.teams.Merge(at, fmt.Sprint("10.0.1.", i), teams.Report(at, 100))
	}
	for i := range r.IntN(40) * r.IntN(2) {
		at = min(at.Add(clock.Span(r.IntN(30))), now)
		w := &overload.Waiter[turn]{Priority: r.IntN(3), Team: []string{"t", "", "u1", "u2"}[r.IntN(4)], LatestOnTime: at.Add(clock.Span(r.IntN(600) - 60)), LatestUseful: at.Add(2000)}
		w.Value.result = make(chan *rejection, 1)
		q.teams.Record(at, w.Level(at), w.Team)
		q.coordinated.Arrive(at, w, float64(r.IntN(3)), r.Float64)
		if i%3 == 0 {
			q.coordinated.RecordEnd(at, clock.Span(r.IntN(1500)))
		}
	}
	e.admission.usedTime(at, &call{route: &view.Config.Routes[1], RequestHeaders: RequestHeaders{Timeout: 5000 + clock.Span(r.IntN(2)*4000)}})
	for _, s := range view.Servers {
		if s.Group == "" && r.IntN(2) == 0 {
			e.loads.RecordSample(s, sentRequest{target: 500, at: now.Add(-asleep), before: 1, running: 2, size: 100, failed: r.IntN(4) == 0})
			e.loads.serverLoad(s.ID).capacityOf(s).Hear(now, "10.0.1.1", balance.CapacitySample{Concurrency: 1, Time: 20, Answered: 2}, s.Slots)
		}
		e.loads.AddWork(s, s.Service, balance.RequestSize{PromptTokens: r.IntN(1000)})
	}
	if r.IntN(2) == 0 {
		e.loads.learning.choices["s"] = now.Add(-asleep)
	}
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

// stateOf returns descriptions of all state that requests change. They do not rely on the copies that explanations use.
func stateOf(e *Entry) (state []string) {
	var metrics bytes.Buffer
	e.metrics.Set.WritePrometheus(&metrics)
	l := e.loads
	for _, part := range []any{
		l.learning, l.servers, l.breakers, l.peerInFlight, l.peerTotals, l.namedRates, l.leaving, l.recovered, l.nextReport,
		e.admission.services, e.admission.timeouts, len(e.retries.services), e.active.Load(), e.memory.budget.Usage(), e.suspects.all(),
		metrics.String(), e.limitedLogger,
	} {
		var b strings.Builder
		describe(&b, reflect.ValueOf(part))
		state = append(state, b.String())
	}
	return state
}

// describe writes v and all that it points to, but no functions and channels. Pointers must form no cycle.
func describe(b *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			b.WriteString("nil")
			return
		}
		describe(b, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(b, " %s:", v.Type().Field(i).Name)
			describe(b, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprint(b, "[")
		for i := range v.Len() {
			describe(b, v.Index(i))
			b.WriteString(" ")
		}
		b.WriteString("]")
	case reflect.Map:
		var entries []string
		for i := v.MapRange(); i.Next(); {
			var entry strings.Builder
			describe(&entry, i.Key())
			entry.WriteString("=")
			describe(&entry, i.Value())
			entries = append(entries, entry.String())
		}
		slices.Sort(entries)
		fmt.Fprint(b, entries)
	case reflect.Func, reflect.Chan:
		fmt.Fprint(b, v.IsNil())
	default:
		fmt.Fprint(b, v) // fmt prints the value that v holds, also of unexported fields
	}
}

// decide returns what the real code path decides on the request: the rejection, or the server unless the request waits.
func decide(e *Entry, q routeQuery, now clock.Time) (server *routing.Server, rej *rejection) {
	request := httptest.NewRequest(http.MethodPost, q.path, nil)
	request.Host = q.host
	c := &call{RequestHeaders: q.headers, request: request, path: q.path, start: now}
	if rej := e.receive(httptest.NewRecorder(), c); rej != nil {
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
			require.Equal(t, before[i], after, "seed %d: state %d changed", seed, i)
		}
		if got.Probability > 0 {
			assertOdds(t, e, q, now, got)
			decisions["coordinated "+got.Decision]++
			start, rest := 1-1e-12, 0.0
			switch got.Decision {
			case AnswerSend:
				start = 0
			case AnswerReject:
				rest = 1 - 1e-12
			}
			e.admission.random = draws(start, rest)
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
	for _, answer := range []string{AnswerSend, AnswerWait, AnswerReject} {
		assert.Greater(t, decisions["coordinated "+answer], 9, answer)
	}
}

// draws returns a function that returns the first number once, and then the other one.
func draws(first, rest float64) func() float64 {
	return func() float64 {
		next := first
		first = rest
		return next
	}
}

// assertOdds asserts that copies of the entry decide by the probabilities of the explanation: with draws just below and just
// above a probability, the decision differs.
func assertOdds(t *testing.T, e *Entry, q routeQuery, now clock.Time, x Explanation) {
	t.Helper()
	const margin = 1e-9
	figures := x.Stages[slices.IndexFunc(x.Stages, func(s RouteStage) bool { return s.Name == "admission" })].Figures
	decideBy := func(first, rest float64) string {
		c := e.copyForExplanation(now)
		c.admission.random = draws(first, rest)
		_, rej := decide(c, q, now)
		switch {
		case rej != nil && rej.reason == reasonNoCapacity:
			assert.GreaterOrEqual(t, float64(rej.retryAfter), figures["retry-after-min-ms"])
			assert.LessOrEqual(t, float64(rej.retryAfter), figures["retry-after-max-ms"])
			return AnswerReject
		case rej != nil && rej.reason == reasonTimeOver:
			return AnswerWait
		}
		return AnswerSend
	}
	start, reject := figures["start-probability"], figures["rejection-probability"]
	if start > margin {
		assert.Equal(t, AnswerSend, decideBy(start-margin, 0.5), "%+v", figures)
	}
	if start > 1-margin {
		return
	}
	assert.NotEqual(t, AnswerSend, decideBy(start+margin, 0.5), "%+v", figures)
	if reject > margin { // the first draw of a team is the start of its sum, which the probability completes
		assert.Equal(t, AnswerReject, decideBy(1-margin, min(1-reject+margin, 1-margin)), "%+v", figures)
	}
	if reject < 1-margin {
		assert.Equal(t, AnswerWait, decideBy(1-margin, max(1-reject-margin, 0)), "%+v", figures)
	}
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

// TestExplanationsBesideRequests guards against explanations that share state with requests, which the race detector reports.
func TestExplanationsBesideRequests(t *testing.T) {
	e, _ := newCoordinatedEntry(t, newFakeBackend(t, nil))
	q := routeQuery{host: "a", path: "/stream/x", headers: RequestHeaders{ID: "r", APIKey: "k", Timeout: 5000}}
	var work sync.WaitGroup
	for range 2 {
		work.Go(func() {
			for range 50 {
				_, _ = decide(e, q, e.clock.Now())
				e.dispatch()
			}
		})
		work.Go(func() {
			for range 50 {
				e.explainRoute(q)
			}
		})
	}
	work.Wait()
}
