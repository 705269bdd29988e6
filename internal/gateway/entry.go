package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"

	"carawaypick/internal/balance"
	"carawaypick/internal/intake"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	maxResponseBody    = 8 << 20                 // bytes of a response body that is buffered before it is forwarded, and of a stream
	noConfigRetryAfter = 500 * clock.Millisecond // Retry-After before the first configuration is received
	noServerRetryAfter = clock.Second            // Retry-After while the service has no usable backend server
	askedSpread        = 200 * clock.Millisecond // by which Retry-After of callers differs after the backend servers asked for no requests
	limitedRetryAfter  = clock.Second            // mean Retry-After while backend servers accept nothing more from this entry
	lowestPriority     = 9                       // numerically largest priority that backend servers accept
	returnMargin       = 5 * clock.Millisecond   // subtracted from the forwarded timeout to leave time for the response to reach the caller
)

// Entry accepts callers' requests and proxies them to backend servers.
type Entry struct {
	settings      atomic.Pointer[Settings]
	protocol      Protocol
	clock         clock.Clock
	reader        *StoreReader
	state         *ClusterState
	loads         *LoadTracker
	conns         *connPool
	peers         *PeerSet
	metrics       *telemetry.Metrics
	memory        shares
	stateSize     atomic.Int64 // bytes of the last answer with state to a peer
	limitedLogger *telemetry.RateLimitedLogger
	retries       *retryBudget
	suspects      *suspectSet
	admission     *admission
	coordination  atomic.Pointer[coordination]
	unreachable   string // control address of the peer that the last pull of state failed at
	// configUnreachable is the same for the last pull of a newer configuration, which another loop does.
	configUnreachable string
	joined            chan struct{} // closed when this entry knows what its peers know of the configuration
	draining          atomic.Bool
	active            atomic.Int64
	full              atomic.Bool // short of descriptors or memory
}

// call is the state of one caller request.
type call struct {
	RequestHeaders
	request       *http.Request
	conn          *intake.Conn // nil for a request that comes from no connection of a port
	path          string
	body          bodyPieces
	answerBytes   int64  // of memory that its answer takes
	unread        bool   // the connection ends with the answer, as more of the request may come
	content       uint64 // fingerprint of the request
	start         clock.Time
	route         *routing.Route
	team          routing.Team
	service       routing.Service
	admittedAt    clock.Time
	deadline      clock.Time    // time by which the caller must have the final response
	attempts      int           // attempts started
	tried         []string      // ids of the backend servers that the request was sent to
	maybeExecuted bool          // a backend server may have run the request
	closed        string        // why no backend server could be chosen, empty if one could
	lastFailure   string        // reason word of the last attempt, empty if it did not fail
	coordinated   bool          // coordinated admission decided
	placement     *placement    // of the last attempt at an engine; nil for none
	reservedIn    *serviceQueue // queue in which a slot is reserved for the request; nil for none
}

// rejection is a response that the entry generates itself.
type rejection struct {
	status     int
	reason     string
	retryAfter clock.Span // ms for Retry-After, 0 for none
	crashes    []string   // ids of the crashes that decided it, if the request may not run because of them
}

// ServeHTTP serves one caller request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	c := &call{RequestHeaders: e.protocol.ParseRequest(r.Header), request: r, conn: intake.FromContext(r.Context()), start: e.clock.Now()}
	c.path, _, _ = strings.Cut(r.RequestURI, "?")
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if rej := e.receive(w, c); rej != nil {
		e.reject(w, c, *rej)
		return
	}
	ctx, cancel := withDeadline(r.Context(), e.clock, c.deadline)
	defer cancel()
	defer e.releaseReservation(c)
	defer e.releaseAnswer(c)
	if rej := e.waitForAdmission(ctx, c); rej != nil {
		if r.Context().Err() != nil {
			e.logOutcome(c, "left")
			return
		}
		e.reject(w, c, *rej)
		return
	}
	c.admittedAt = e.clock.Now()
	defer e.recordEnd(c)
	if c.route.Kind == routing.Stream {
		e.serveStream(ctx, w, c)
		return
	}
	e.serveBuffered(ctx, w, c)
}

// validate authorizes the request, checks its limits and sets its deadline, all by its head; maxBody is the limit of its body.
func (e *Entry) validate(c *call) (maxBody int, rej *rejection) {
	select {
	case <-e.joined: // takes a heartbeat of a peer, at most joinTimeout
	case <-c.request.Context().Done():
	}
	e.waitForConfig(c)
	view := e.state.View()
	if view.Config == nil {
		return 0, &rejection{status: http.StatusServiceUnavailable, reason: reasonNoConfig, retryAfter: e.noConfigRetryAfter(c)}
	}
	if e.isTakenForServer(view, c) {
		return 0, &rejection{status: http.StatusMisdirectedRequest, reason: "an entry is registered as a backend server"}
	}
	if rej := e.authorize(view, c); rej != nil {
		return 0, rej
	}
	if c.ID == "" {
		return 0, &rejection{status: http.StatusBadRequest, reason: "the request has no id"}
	}
	limits := view.Config.Limits
	if limits.MaxHeaderBytes > 0 && headerSize(c.request) > limits.MaxHeaderBytes {
		return 0, &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
	}
	c.deadline = c.start.Add(c.timeout())
	return limits.MaxBodyBytes, nil
}

// maxTimeout is the time that a request may take if neither the caller nor the route sets a timeout.
const maxTimeout = 10 * clock.Minute

// timeout returns the time in ms that the request may take in all.
func (c *call) timeout() clock.Span {
	limit := maxTimeout
	if c.Timeout > 0 {
		limit = min(limit, c.Timeout)
	}
	if c.route != nil && c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	return limit
}

// authorize sets the request's route, team and service from the view, or returns a rejection if no route matches or the
// API key is unknown.
func (e *Entry) authorize(view *routing.View, c *call) *rejection {
	route := view.Config.Match(c.request.Host, c.path)
	if route == nil {
		return &rejection{status: http.StatusNotFound, reason: "no route matches"}
	}
	team, known := view.Config.TeamsByKey[c.APIKey]
	if !known && view.Config.RequireKey && !route.Public {
		return &rejection{status: http.StatusUnauthorized, reason: "the API key is unknown"}
	}
	c.route, c.team = route, team
	c.service = view.Config.Services[route.ChooseService(rand.Float64())]
	return nil
}

func headerSize(r *http.Request) int {
	const separators = 4 // colon, space and CRLF
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host") + 2*separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// pickServer chooses a backend server for the next attempt from the current view and counts the attempt there, or returns a
// rejection.
func (e *Entry) pickServer(c *call) (s *routing.Server, rej *rejection) {
	view := e.state.View()
	if rej := e.authorize(view, c); rej != nil {
		return nil, rej
	}
	if rej := e.rejectQuarantined(c); rej != nil {
		return nil, rej
	}
	servers := view.Services[c.service.Name]
	if len(servers) == 0 {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "the service has no usable backend server", retryAfter: noServerRetryAfter}
	}
	servers = e.eligibleServers(c, servers)
	i, chosen, closed := e.loads.Choose(servers, c.service, c.tried, e.settings.Load().Zone)
	if i < 0 {
		c.closed = closed.Reasons
		return nil, rejectionOfClosed(closed)
	}
	c.placement = e.loads.AddWork(servers[i], c.service.Name, c.requestSize())
	if chosen.Limited {
		e.logLimitedSend(c, servers[i], chosen)
	}
	return servers[i], nil
}

// eligibleServers returns the servers that the next attempt may go to: those of a group that is probed now, or else those
// outside groups with a tripped circuit breaker. It counts the probe.
func (e *Entry) eligibleServers(c *call, servers []*routing.Server) []*routing.Server {
	available := e.loads.Available(servers)
	if len(available) == len(servers) {
		return servers
	}
	if probes := e.loads.ProbeServers(servers); len(probes) > 0 && c.attempts == 0 {
		return probes
	}
	return available
}

// rejectionOfClosed returns the rejection of a request that no backend server can get now.
func rejectionOfClosed(closed ClosedServers) *rejection {
	switch {
	case closed.Limited:
		return rejectionOfLimited()
	case closed.ReopenIn > 0:
		return rejectionOfAsked(closed.ReopenIn)
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: "every backend server is down or was tried", retryAfter: noServerRetryAfter}
}

// rejectionOfAsked returns the rejection of a request that the backend servers want no earlier than in the given ms. The
// callers come back a little apart.
func rejectionOfAsked(wait clock.Span) *rejection {
	spread := clock.Span(rand.Int64N(int64(askedSpread)))
	return &rejection{status: http.StatusServiceUnavailable, reason: "the backend servers asked for no requests", retryAfter: wait + spread}
}

// rejectionOfLimited returns the rejection of a request that no backend server accepts from this entry now; others may be
// accepted at other entries.
func rejectionOfLimited() *rejection {
	spread := clock.Span(rand.Int64N(int64(limitedRetryAfter)))
	return &rejection{status: http.StatusServiceUnavailable, reason: "the rates of the backend servers are used up", retryAfter: limitedRetryAfter/2 + spread}
}

// logLimitedSend logs and counts a request that goes to a backend server with a limited rate.
func (e *Entry) logLimitedSend(c *call, s *routing.Server, chosen balance.Endpoint) {
	e.metrics.LimitedSends.Get(c.service.Name).Inc()
	entries := e.peers.Entries()
	e.limitedLogger.Log("limited", "msg", "request goes to a backend server with a limited rate", "id", c.ID, "server", s.ID,
		"requests", chosen.Rate.Requests, "window", chosen.Rate.Window, "part", chosen.Part, "sent", chosen.Sent,
		"alive", len(entries.Alive), "entries", entries.Known, "cold", e.clock.Now() < s.ColdUntil)
}

// attempt sends the request to s; a non-empty lastEvent asks to resume the stream after that event.
func (e *Entry) attempt(ctx context.Context, c *call, s *routing.Server, lastEvent string) exchange {
	c.attempts++
	c.tried = append(c.tried, s.ID)
	e.retries.recordRequest(c, e.clock.Now())
	out := outgoingRequest(c.request, c.body)
	e.protocol.SetForwardHeaders(out.Header, ForwardHeaders{
		ServerID:    s.ID,
		Team:        c.team.Name,
		Timeout:     max(c.deadline.Sub(e.clock.Now())-returnMargin, 1),
		LastEventID: lastEvent,
		Priority:    min(c.priority(), lowestPriority),
	})
	e.suspects.addSend(c.SharedParts)
	e.releaseReservation(c)
	sentAt, before := e.clock.Now(), e.loads.InFlightAt(s)
	x := e.send(ctx, s, out, c.ID, c.route.Kind == routing.NonIdempotent)
	e.recordOwner(c, s, &x, sentAt)
	if x.response != nil && !x.headers.Misdirected {
		e.recordNamedRate(c, s, x.headers, sentAt)
		e.recordAvailability(c, s, &x, sentAt)
	}
	e.recordCapacity(c, s, &x, sentAt, before)
	if x.outcome == outcomeUnknown {
		c.maybeExecuted = true
	}
	c.lastFailure = x.reason
	return x
}

// recordNamedRate records the rate of requests that s takes, as named in an answer, and tells the other entries of a change at
// once.
func (e *Entry) recordNamedRate(c *call, s *routing.Server, h ResponseHeaders, sentAt clock.Time) {
	if h.MalformedRate != "" {
		e.limitedLogger.Log("rate", "msg", "rate limit of a backend server is not a positive number, ignoring it", "server", s.ID, "id", c.ID, "value", h.MalformedRate)
		return
	}
	if e.loads.RecordNamedRate(s, h.RateLimit, sentAt) {
		e.limitedLogger.Log("rate", "msg", "backend server limits its rate", "server", s.ID, "rate", h.RateLimit, "source", "answer", "id", c.ID)
		e.peers.Notify()
	}
}

// recordAvailability records whether s leaves, and whether it takes requests or turns them away, as an answer shows.
func (e *Entry) recordAvailability(c *call, s *routing.Server, x *exchange, sentAt clock.Time) {
	h := x.headers
	if h.Malformed != "" {
		e.limitedLogger.Log("header", "msg", "header of a backend server can't be read, ignoring it", "server", s.ID, "id", c.ID, "header", h.Malformed)
	}
	if h.Leaving && e.loads.RecordLeaving(s) {
		e.limitedLogger.Log("leaving", "msg", "backend server leaves", "server", s.ID, "born", s.StartedAt, "source", "answer", "id", c.ID)
		e.peers.Notify()
	}
	switch {
	case h.RetryAfter > 0:
		e.limitedLogger.Log("asked", "msg", "backend server wants no requests for a time", "server", s.ID, "id", c.ID, "ms", h.RetryAfter)
		e.loads.RecordTurnedAway(s, h.RetryAfter)
	case x.outcome == outcomeAnswered:
		e.loads.RecordTaken(s, sentAt)
	case x.outcome == outcomeNotExecuted && s.Group == "":
		e.recordRejection(s)
	}
}

// recordRejection records that s rejected a request at once, for a reason of its own.
func (e *Entry) recordRejection(s *routing.Server) {
	e.loads.RecordTurnedAway(s, 0)
	if e.loads.RejectionIsNews(s) {
		e.peers.Notify()
	}
}

// receiveLeavingReports merges what a peer heard of backend servers that leave or take requests again.
func (e *Entry) receiveLeavingReports(hb heartbeat) {
	e.loads.MergeRecoveredReports(hb.Taking)
	for _, r := range e.loads.MergeLeavingReports(hb.Leaving) {
		e.limitedLogger.Log("leaving", "msg", "backend server leaves", "server", r.ID, "born", r.Born, "source", hb.Name)
	}
}

// receiveRateReports merges what a peer heard of the rates of backend servers.
func (e *Entry) receiveRateReports(hb heartbeat) {
	for _, r := range e.loads.MergeRateReports(hb.Rates) {
		e.limitedLogger.Log("rate", "msg", "backend server limits its rate", "server", r.ID, "rate", r.Rate, "source", hb.Name, "age", r.Age)
	}
}

// allowRetry reports whether the request may be retried after an attempt with outcome o, and spends the retry budget.
func (e *Entry) allowRetry(c *call, o outcome) bool {
	if c.attempts >= c.route.MaxAttempts || e.clock.Now() >= c.deadline {
		return false
	}
	if o != outcomeNotExecuted && !c.route.Repeatable() {
		return false
	}
	return e.retries.spend(c, e.clock.Now())
}

// reject sends the rejection as the final response.
func (e *Entry) reject(w http.ResponseWriter, c *call, rej rejection) {
	if c.maybeExecuted && (rej.status == http.StatusServiceUnavailable || rej.status == http.StatusTooManyRequests) {
		rej.status = http.StatusBadGateway // 503 and 429 would imply that the request did not run
		if len(rej.crashes) == 0 {
			rej.retryAfter = 0
		}
	}
	e.protocol.SetRejectionHeaders(w.Header(), c.ID, rej.retryAfter)
	w.Header().Set("Content-Length", "0")
	if c.unread {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(rej.status)
	e.endUnread(w, c)
	e.metrics.Rejections.Get(rej.reason).Inc()
	e.logOutcome(c, "refused", "status", rej.status, "reason", rej.reason, "after", rej.retryAfter, "last", c.lastFailure,
		"crashes", strings.Join(rej.crashes, " "), "closed", c.closed)
}

// logOutcome writes the request's log line and updates its metrics.
func (e *Entry) logOutcome(c *call, outcome string, more ...any) {
	view := e.state.View()
	era, revision := view.Position.Numbers()
	line := []any{
		"msg", "request", "id", c.ID, "outcome", outcome, "took", e.clock.Since(c.start),
		"team", c.team.Name, "attempts", c.attempts, "servers", strings.Join(c.tried, " "), "era", era, "revision", revision, "age", e.state.Age(),
	}
	if c.route != nil {
		line = append(line, "route", c.route.Name, "service", c.service.Name, "content", formatFingerprint(c.content))
		e.metrics.Latency.Get(c.service.Name).Update(float64(e.clock.Since(c.start)))
	}
	if view.Config != nil {
		line = append(line, "version", view.Config.Version)
	}
	e.metrics.Calls.Get(outcome).Inc()
	e.limitedLogger.Log(outcome, append(line, more...)...)
}
