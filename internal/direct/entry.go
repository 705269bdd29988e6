package direct

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	maxAnswer    = 8 << 20                 // bytes of a plain answer that are held before it is passed on
	unreadyAfter = 500 * clock.Millisecond // Retry-After while no configuration is known
	emptyAfter   = clock.Second            // Retry-After while a service has no usable backend server
	leastUrgent  = 9                       // priority that a backend server knows as the least urgent
	clockMargin  = 5 * clock.Millisecond   // taken off the time that a backend server gets, for the way back
)

// Entry serves callers.
type Entry struct {
	settings atomic.Pointer[Settings]
	wire     Wire
	clock    clock.Clock
	reader   *Reader
	belief   *Belief
	board    *Board
	conns    *connPool
	peers    *Peers
	metrics  *telemetry.Metrics
	journal  *telemetry.Journal
	budget   *retryBudget
	turns    *turns
	leaving  atomic.Bool
	active   atomic.Int64
}

// call is one request of a caller on its way through the entry.
type call struct {
	Call
	request  *http.Request
	path     string
	body     []byte
	start    clock.Time
	route    *routing.Route
	team     routing.Team
	service  routing.Service
	granted  clock.Time // its turn came
	deadline clock.Time // moment at which the caller must have its final answer
	attempts int        // backend servers that the request was sent to
	tried    []string
	unproven bool // one of them may have run it
	last     string
	queue    *queue // where it holds a reservation
}

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	after  clock.Span
}

// ServeHTTP answers one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	c := &call{Call: e.wire.Call(r.Header), request: r, start: e.clock.Now()}
	c.path, _, _ = strings.Cut(r.RequestURI, "?")
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if no := e.admit(w, c); no != nil {
		e.refuse(w, c, *no)
		return
	}
	ctx, cancel := until(r.Context(), e.clock, c.deadline)
	defer cancel()
	defer e.settle(c)
	if no := e.turn(ctx, c); no != nil {
		if r.Context().Err() != nil {
			e.log(c, "left")
			return
		}
		e.refuse(w, c, *no)
		return
	}
	c.granted = e.clock.Now()
	if c.route.Kind == routing.Stream {
		e.stream(ctx, w, c)
		return
	}
	e.plain(ctx, w, c)
}

// admit reads the request and finds out whether it may be served and by whom.
func (e *Entry) admit(w http.ResponseWriter, c *call) *refusal {
	view := e.belief.View()
	if view.Table == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration is known", unreadyAfter}
	}
	if no := e.authorize(view, c); no != nil {
		return no
	}
	if c.ID == "" {
		return &refusal{http.StatusBadRequest, "the request has no id", 0}
	}
	limits := view.Table.Limits
	if limits.Header > 0 && headerSize(c.request) > limits.Header {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "the header is too large", 0}
	}
	body := c.request.Body
	if limits.Body > 0 {
		body = http.MaxBytesReader(w, body, int64(limits.Body))
	}
	content, err := io.ReadAll(body)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return &refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0}
		}
		return &refusal{http.StatusBadRequest, "the body can't be read: " + err.Error(), 0}
	}
	c.body = content
	c.deadline = c.start.Add(c.wait())
	return nil
}

// wait returns the time in ms that the request may take.
func (c *call) wait() clock.Span {
	const longest = 10 * clock.Minute // for a caller and an operator that name no time
	wait := longest
	if c.Budget > 0 {
		wait = min(wait, c.Budget)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	return wait
}

// authorize finds the request's route, service and team in the view.
func (e *Entry) authorize(view *routing.View, c *call) *refusal {
	route := view.Table.Match(c.request.Host, c.path)
	if route == nil {
		return &refusal{http.StatusNotFound, "no route matches", 0}
	}
	team, known := view.Table.Keys[c.Key]
	if !known && view.Table.Keyed && !route.Public {
		return &refusal{http.StatusUnauthorized, "the API key is unknown", 0}
	}
	c.route, c.team = route, team
	c.service = view.Table.Services[route.Choose(rand.Float64())]
	return nil
}

func headerSize(r *http.Request) int {
	const separators = 4 // the colon, the space and the line's end
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host") + 2*separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// next chooses the backend server for the next attempt under the newest view, or says why there is none.
func (e *Entry) next(c *call) (s *routing.Server, no *refusal) {
	view := e.belief.View()
	if no := e.authorize(view, c); no != nil {
		return nil, no
	}
	servers := view.Services[c.service.Name]
	if len(servers) == 0 {
		return nil, &refusal{http.StatusServiceUnavailable, "the service has no usable backend server", emptyAfter}
	}
	if serving := e.board.Serving(servers); len(serving) < len(servers) {
		trial := e.board.Trial(servers)
		servers = serving
		if len(trial) > 0 && c.attempts == 0 {
			servers = trial
		}
	}
	places := e.board.Candidates(servers, c.service, c.tried)
	i := balance.Pick(places, e.settings.Load().Zone, e.peers.Part(), rand.Uint64)
	if i < 0 {
		return nil, &refusal{http.StatusServiceUnavailable, "every backend server is down or was tried", emptyAfter}
	}
	return servers[i], nil
}

// attempt sends the request to a backend server.
func (e *Entry) attempt(ctx context.Context, c *call, s *routing.Server, lastEvent string) exchange {
	c.attempts++
	c.tried = append(c.tried, s.ID)
	e.budget.first(c, e.clock.Now())
	out := outgoing(c.request, c.body)
	e.wire.Forward(out.Header, Forward{
		Server:    s.ID,
		Team:      c.team.Name,
		Left:      max(c.deadline.Sub(e.clock.Now())-clockMargin, 1),
		LastEvent: lastEvent,
		Priority:  min(c.rank(), leastUrgent),
	})
	e.board.Start(s.ID)
	e.settle(c)
	x := e.send(ctx, s, out, c.ID, c.route.Kind == routing.Unsafe)
	if x.fate == fateUnknown {
		c.unproven = true
	}
	c.last = x.reason
	return x
}

// again tells whether the request may go to another backend server after an attempt that ended with fate.
func (e *Entry) again(c *call, f fate) bool {
	if c.attempts >= c.route.Attempts || e.clock.Now() >= c.deadline {
		return false
	}
	repeatable := c.route.Kind == routing.Safe || (c.route.Kind == routing.Stream && c.route.Resume)
	if f != fateNotRun && !repeatable {
		return false
	}
	return e.budget.spend(c, e.clock.Now())
}

// refuse gives the system's own final answer.
func (e *Entry) refuse(w http.ResponseWriter, c *call, no refusal) {
	if c.unproven && (no.status == http.StatusServiceUnavailable || no.status == http.StatusTooManyRequests) {
		no.status, no.after = http.StatusBadGateway, 0 // nobody may be told that it has not run
	}
	e.wire.Refuse(w.Header(), c.ID, no.after)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(no.status)
	e.metrics.Refusals.Get(no.reason).Inc()
	e.log(c, "refused", "status", no.status, "reason", no.reason, "after", no.after, "last", c.last)
}

// log writes the line on the end of a request.
func (e *Entry) log(c *call, outcome string, more ...any) {
	view := e.belief.View()
	line := []any{
		"msg", "request", "id", c.ID, "outcome", outcome, "took", e.clock.Since(c.start),
		"team", c.team.Name, "attempts", c.attempts, "servers", strings.Join(c.tried, " "), "revision", view.Revision,
	}
	if c.route != nil {
		line = append(line, "route", c.route.Name, "service", c.service.Name)
		e.metrics.Latency.Get(c.service.Name).Update(float64(e.clock.Since(c.start)))
	}
	if view.Table != nil {
		line = append(line, "version", view.Table.Version)
	}
	e.metrics.Calls.Get(outcome).Inc()
	e.journal.Log(outcome, append(line, more...)...)
}
