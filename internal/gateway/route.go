package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// RoutePath is the path of the route explanation on the metrics server.
const RoutePath = "/route"

// Answers of a stage, and of all stages together.
const (
	AnswerPass   = "pass"   // the request goes on to the next stage
	AnswerWait   = "wait"   // the request waits
	AnswerReject = "reject" // the request is rejected
	AnswerSend   = "send"   // the request is sent to a backend server
)

// Explanation tells where an entry would send a request now, and why.
type Explanation struct {
	Entry    string `json:"entry"`
	Time     int64  `json:"time-ms"` // Unix time
	Host     string `json:"host"`
	Path     string `json:"path"`
	Route    string `json:"route,omitempty"`
	Team     string `json:"team,omitempty"`
	Service  string `json:"service,omitempty"`
	Priority int    `json:"priority"`
	Decision string `json:"decision"` // AnswerSend, AnswerWait or AnswerReject
	// Probability is that of the decision of coordinated admission, which is the most probable one; 0 without it.
	Probability float64          `json:"probability,omitempty"`
	Status      int              `json:"status,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	RetryAfter  clock.Span       `json:"retry-after-ms,omitempty"` // one draw, as rejected callers are spread
	Stages      []RouteStage     `json:"stages"`
	Candidates  []RouteCandidate `json:"candidates,omitempty"`
	Tries       []string         `json:"tries,omitempty"` // ids of the servers in the likely order of attempts
}

// RouteStage is the answer of one stage that a request passes through.
type RouteStage struct {
	Name    string             `json:"name"`
	Answer  string             `json:"answer"`
	Reason  string             `json:"reason,omitempty"`
	Figures map[string]float64 `json:"figures,omitempty"`
	Age     clock.Span         `json:"age-ms"` // of the oldest information that the figures come from
}

// RouteCandidate is a backend server that may get the request.
type RouteCandidate struct {
	ID           string     `json:"id"`
	Zone         string     `json:"zone"`
	Slots        int        `json:"slots"`
	OwnInFlight  int        `json:"own-in-flight"`
	PeerInFlight int        `json:"peer-in-flight"`
	Closed       string     `json:"closed,omitempty"`         // why it can't get the request, empty if it can
	ReopenIn     clock.Span `json:"reopen-in-ms,omitempty"`   // until the end of the time for which it asked for no requests
	Part         int        `json:"rate-part,omitempty"`      // requests in its rate's window that this entry may send
	Sent         int        `json:"rate-sent,omitempty"`      // of these, the requests sent
	Window       clock.Span `json:"rate-window-ms,omitempty"` // of its rate, 0 if it has no limit
	Chance       float64    `json:"chance"`                   // probability that the first attempt goes to it
}

// routeQuery is the request to explain.
type routeQuery struct {
	host, path string
	headers    RequestHeaders
}

// explainer holds the state of one explanation. Its entry is a copy, so that the same functions as for a request can run on
// it without an effect on other requests.
type explainer struct {
	entry  *Entry
	call   *call
	now    clock.Time
	result *Explanation
}

// routeStages are the stages in the order in which a request passes through them. A stage returns the rejection with which it
// ends the request, or nil.
var routeStages = []struct {
	name string
	run  func(*explainer, *RouteStage) *rejection
}{
	{"join", (*explainer).explainJoin},
	{"configuration", (*explainer).explainConfig},
	{"authorization", (*explainer).explainAuthorization},
	{"quarantine", (*explainer).explainQuarantine},
	{"admission", (*explainer).explainAdmission},
	{"server", (*explainer).explainServer},
}

// explainRoute explains where the request would go now. It changes no state of the entry.
func (e *Entry) explainRoute(q routeQuery) Explanation {
	now := e.clock.Now()
	q.headers.ID = cmp.Or(q.headers.ID, "route")
	request := &http.Request{Method: http.MethodPost, Host: q.host, RequestURI: q.path, URL: &url.URL{Path: q.path}, Header: make(http.Header)}
	c := &call{RequestHeaders: q.headers, request: request, start: now}
	c.path, _, _ = strings.Cut(q.path, "?")
	x := &explainer{
		entry: e.copyForExplanation(now), call: c, now: now,
		result: &Explanation{Entry: e.settings.Load().Name, Time: clock.Wall(), Host: q.host, Path: c.path, Decision: AnswerSend},
	}
	for _, s := range routeStages {
		stage := RouteStage{Name: s.name, Answer: AnswerPass}
		rej := s.run(x, &stage)
		if rej != nil {
			stage.Answer, stage.Reason = AnswerReject, rej.reason
		}
		if rej != nil && x.result.Decision != AnswerWait { // a request that waits passes the later stages at another time
			x.result.Decision, x.result.Status, x.result.Reason, x.result.RetryAfter = AnswerReject, rej.status, rej.reason, rej.retryAfter
		}
		if stage.Answer == AnswerWait {
			x.result.Decision = AnswerWait
		}
		x.result.Stages = append(x.result.Stages, stage)
		if rej != nil {
			break
		}
	}
	return *x.result
}

// copyForExplanation returns an entry with copies of the state that requests change, at a fixed time. What requests only read
// is shared.
func (e *Entry) copyForExplanation(now clock.Time) *Entry {
	c := clock.Manual(&now)
	x := &Entry{
		protocol: e.protocol, clock: c, reader: e.reader, state: e.state, peers: e.peers, suspects: e.suspects, joined: e.joined,
		loads: e.loads.clone(c), admission: e.admission.clone(), metrics: telemetry.NewMetrics(),
		limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewNopLogger(), Clock: c},
	}
	x.settings.Store(e.settings.Load())
	return x
}

// clone returns an independent copy with the clock c.
func (t *LoadTracker) clone(c clock.Clock) *LoadTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := NewLoadTracker(c)
	n.entries, n.drainTime, n.nextReport = t.entries, t.drainTime, t.nextReport
	n.Coordinated, n.Bounds, n.learning = t.Coordinated, t.Bounds, t.learning.clone()
	for id, s := range t.servers {
		load := *s
		load.sent, load.parts, load.capacity = s.sent.Clone(), maps.Clone(s.parts), s.capacity.Clone()
		n.servers[id] = &load
	}
	n.breakers = cloneValues(t.breakers)
	n.peerInFlight, n.peerTotals = maps.Clone(t.peerInFlight), maps.Clone(t.peerTotals)
	n.namedRates, n.leaving, n.recovered, n.trials = maps.Clone(t.namedRates), maps.Clone(t.leaving), maps.Clone(t.recovered), maps.Clone(t.trials)
	return n
}

// clone returns a copy that can be changed without an effect on a.
func (a *admission) clone() *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := newAdmission()
	n.random, n.timeouts = a.random, cloneValues(a.timeouts)
	for name, q := range a.services {
		n.services[name] = q.clone()
	}
	return n
}

// clone returns a copy that can be changed without an effect on q; mu of the admission is held.
func (q *serviceQueue) clone() *serviceQueue {
	c := *q
	c.waiting, c.coordinated = q.waiting.Clone(), q.coordinated.Clone()
	c.teams, c.returns = q.teams.Clone(), q.returns.Clone()
	c.coordinated.TeamReject = c.teams.RejectProbability
	return &c
}

func (x *explainer) explainJoin(s *RouteStage) *rejection {
	if !x.entry.hasJoined() {
		s.Answer, s.Reason = AnswerWait, "the entry has not learned its peers' configuration yet"
	}
	return nil
}

func (x *explainer) explainConfig(s *RouteStage) *rejection {
	view := x.entry.state.View()
	s.Age = x.entry.state.Age()
	if view.Config == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: reasonNoConfig, retryAfter: x.entry.noConfigRetryAfter(x.call)}
	}
	s.Figures = map[string]float64{"version": float64(view.Config.Version), "servers": float64(len(view.Servers))}
	return nil
}

func (x *explainer) explainAuthorization(s *RouteStage) *rejection {
	c := x.call
	rej := x.entry.authorize(x.entry.state.View(), c)
	s.Age = x.entry.state.Age()
	if rej != nil {
		return rej
	}
	c.deadline = c.start.Add(c.timeout())
	x.result.Route, x.result.Team, x.result.Service, x.result.Priority = c.route.Name, c.team.Name, c.service.Name, c.priority()
	s.Figures = map[string]float64{"timeout-ms": float64(c.timeout()), "attempts": float64(c.route.MaxAttempts)}
	return nil
}

// explainQuarantine checks the fingerprint of a request without a body, since the body is not known.
func (x *explainer) explainQuarantine(*RouteStage) *rejection {
	x.call.content = fingerprint(x.call.team.Name, x.call.request.RequestURI, nil)
	return x.entry.rejectQuarantined(x.call)
}

func (x *explainer) explainAdmission(s *RouteStage) *rejection {
	e, c := x.entry, x.call
	servers := e.loads.Available(e.state.View().Services[c.service.Name])
	if e.coordinated() {
		return x.explainCoordinated(s, servers)
	}
	s.Figures, s.Age = x.admissionFigures(servers), e.peers.oldestReport()
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // so that a request which would wait returns at once
	rej := e.waitForAdmission(ctx, c)
	if rej != nil && rej.reason == reasonTimeOver {
		s.Answer, s.Reason = AnswerWait, "no place is free"
		return nil
	}
	return rej
}

// explainCoordinated gives the probabilities of the decisions of coordinated admission, and answers by the most probable one.
func (x *explainer) explainCoordinated(s *RouteStage, servers []*routing.Server) *rejection {
	e, c := x.entry, x.call
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	a, rej := e.arriveCoordinated(c, servers, x.now)
	s.Figures = map[string]float64{"servers": float64(len(servers))}
	if rej != nil || a.waiter == nil {
		return rej
	}
	q := a.queue
	odds, status := q.coordinated.Odds(x.now, a.waiter, a.free), q.coordinated.Status(x.now)
	least, most := retryAfterRange(c.deadline.Sub(x.now))
	s.Age = status.Oldest
	maps.Copy(s.Figures, map[string]float64{
		"level": float64(odds.Level), "start-probability": odds.Start, "rejection-share": odds.Share, "rejection-probability": odds.Reject,
		"expected-wait-ms": min(odds.ExpectedWait, float64(maxLoggedWait)), "free": a.free, "room": a.room.Requests, "reserved": float64(q.reserved),
		"waiting": float64(q.coordinated.Len()), "starts-per-s": status.Starts, "peers": float64(status.Peers), "report-age-ms": float64(status.Oldest),
		"retry-after-min-ms": float64(least), "retry-after-max-ms": float64(most),
	})
	reject, wait := (1-odds.Start)*odds.Reject, (1-odds.Start)*(1-odds.Reject)
	x.result.Probability = max(odds.Start, reject, wait)
	switch x.result.Probability {
	case odds.Start:
		return nil
	case reject:
		return &rejection{status: http.StatusServiceUnavailable, reason: reasonNoCapacity, retryAfter: e.retryAfter(q, a.waiter, x.now)}
	}
	s.Answer, s.Reason = AnswerWait, "no place is free"
	return nil
}

// admissionFigures returns the figures that admission decides by.
func (x *explainer) admissionFigures(servers []*routing.Server) map[string]float64 {
	e, c := x.entry, x.call
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	q := cmp.Or(e.admission.services[c.service.Name], &serviceQueue{}).clone()
	scratch := &admission{services: map[string]*serviceQueue{c.service.Name: q}}
	scratch.queueOf(c.service).limiter.GapTarget = c.route.GapTarget
	room, free := e.room(q, servers, x.now)
	figures := map[string]float64{
		"servers": float64(len(servers)), "room": room.Requests, "free": free, "in-flight": float64(e.loads.TotalInFlight(servers)),
		"reserved": float64(q.reserved), "waiting": float64(q.waiting.Len()),
		"request-cost-ms": e.meanCost(c.service.Name, q, x.now), "entries": float64(e.peers.Entries().Known),
	}
	if room.Rate > 0 {
		figures["rate-per-s"] = room.Rate
	}
	if q.waiting.Len() > 0 || free < 1 {
		q.waiting.MaxRate = room.Rate
		wait := q.waiting.Push(x.now, newWaiter(c, x.now, q.firstEvent.Delay()), 0)
		figures["expected-wait-ms"] = float64(wait.ExpectedWait)
	}
	return figures
}

// explainServer lists the candidates and chooses one of them. Each of several attempts goes to another one.
func (x *explainer) explainServer(s *RouteStage) *rejection {
	e, c := x.entry, x.call
	all := e.state.View().Services[c.service.Name]
	zone := e.settings.Load().Zone
	peek := e.loads.clone(e.clock)
	eligible := (&Entry{loads: peek}).eligibleServers(c, all) // counts a probe, so not on the copy that pickServer uses
	x.result.Candidates = peek.candidates(all, eligible, c.service, zone)
	open := slices.DeleteFunc(slices.Clone(x.result.Candidates), func(r RouteCandidate) bool { return r.Chance == 0 })
	s.Figures = map[string]float64{"candidates": float64(len(all)), "open": float64(len(open))}
	s.Age = e.peers.oldestReport()
	if _, rej := e.pickServer(c); rej != nil {
		return rej
	}
	slices.SortStableFunc(open, func(a, b RouteCandidate) int { return cmp.Compare(b.Chance, a.Chance) })
	for _, r := range open[:min(len(open), max(c.route.MaxAttempts, 1))] {
		x.result.Tries = append(x.result.Tries, r.ID)
	}
	return nil
}

// reasonTripped is why a server gets no request while the circuit breaker of its group is tripped.
const reasonTripped = "its group rejects requests"

// candidates returns the state of all servers, of which only the eligible ones may get a request now.
func (t *LoadTracker) candidates(all, eligible []*routing.Server, service routing.Service, zone string) (candidates []RouteCandidate) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := t.endpoints(eligible, service, nil, now)
	if !slices.ContainsFunc(endpoints, func(e balance.Endpoint) bool { return e.Closed() == "" }) {
		t.reopenLeaving(eligible, endpoints, now)
	}
	chances := t.pickChances(eligible, service, endpoints, zone, now)
	for _, s := range all {
		i := slices.Index(eligible, s)
		if i < 0 {
			r := newCandidate(s, t.endpoint(s, service, now), now)
			r.Closed = reasonTripped
			candidates = append(candidates, r)
			continue
		}
		r := newCandidate(s, endpoints[i], now)
		r.Chance = chances[i]
		candidates = append(candidates, r)
	}
	return candidates
}

func newCandidate(s *routing.Server, e balance.Endpoint, now clock.Time) RouteCandidate {
	r := RouteCandidate{ID: s.ID, Zone: s.Zone, Slots: s.Slots, OwnInFlight: e.OwnInFlight, PeerInFlight: e.PeerInFlight, Closed: e.Closed()}
	if e.AskedUntil > 0 {
		r.ReopenIn = e.AskedUntil.Sub(now)
	}
	if e.Limited {
		r.Part, r.Sent, r.Window = e.Part, e.Sent, e.Rate.Window
	}
	return r
}

// oldestReport returns the age in ms of the oldest heartbeat that is in use, 0 if there is none.
func (p *PeerSet) oldestReport() (age clock.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, peer := range p.peers {
		if peer.alive {
			age = max(age, now.Sub(peer.lastDirect))
		}
	}
	return age
}

// handleRoute answers a request for an explanation. The API key is in the header, as in a caller's request.
func (e *Entry) handleRoute(w http.ResponseWriter, r *http.Request) {
	q, err := e.parseRouteQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.explainRoute(q)); err != nil {
		level.Warn(e.limitedLogger.Logger).Log("msg", "route explanation not sent", "error", err)
	}
}

// parseRouteQuery returns the request to explain, or an error that names the invalid parameter.
func (e *Entry) parseRouteQuery(r *http.Request) (q routeQuery, err error) {
	values := r.URL.Query()
	q = routeQuery{host: values.Get("host"), path: values.Get("path"), headers: e.protocol.ParseRequest(r.Header)}
	if q.host == "" || !strings.HasPrefix(q.path, "/") {
		return q, errors.New("host and a path that begins with / are needed")
	}
	timeout := int(q.headers.Timeout)
	for name, into := range map[string]*int{"prompt": &q.headers.PromptTokens, "output": &q.headers.ExpectedOutputTokens, "deadline": &timeout} {
		if values.Get(name) == "" {
			continue
		}
		if *into, err = strconv.Atoi(values.Get(name)); err != nil || *into < 0 {
			return q, errors.Newf("%s is not a non-negative number", name)
		}
	}
	q.headers.Timeout = clock.Span(timeout)
	return q, nil
}
