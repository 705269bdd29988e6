package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// Outcome is how a call ended, as its caller sees it.
type Outcome string

// Outcomes of a call; notrun, unknown and failed are outcome words of the protocol.
const (
	Complete      Outcome = "whole"   // complete response received
	NotRun        Outcome = "notrun"  // the request provably did not run
	Unknown       Outcome = "unknown" // the request may have run
	Failed        Outcome = "failed"  // the request ran and failed, or is permanently rejected
	BadRequest    Outcome = "bad"     // the request is invalid
	NoAnswer      Outcome = "lost"    // no complete response received, or the service could not be located
	ProtocolError Outcome = "broken"  // the response violates the protocol
)

const (
	defaultMaxSends = 4
	defaultDeadline = 10 * clock.Second
	minResendDelay  = 20 * clock.Millisecond
)

// Location is the response to a locate call.
type Location struct {
	Addresses []string   `json:"addresses"`
	TTL       clock.Span `json:"ttl"`     // ms
	Binding   string     `json:"binding"` // sent with each non-idempotent request
	Key       string     `json:"key"`     // prefix of the ids of non-idempotent requests
}

// Call is one call of a caller.
type Call struct {
	ID           string     // request id; that of a non-idempotent call is Location.Key, a dot and a unique suffix
	Method       string     // empty for POST
	Path         string     // path after the service name, with a leading slash
	Body         []byte     // as sent
	Priority     int        // higher first
	Deadline     clock.Span // ms from the start of the call, 0 for the default of 10 s
	Idempotent   bool
	MaxSends     int  // maximum number of sends of this id, 0 for the default of 4
	ResendNotRun bool // resends after notrun, within MaxSends and the deadline
}

// CallResult is the result of a call.
type CallResult struct {
	ID               string
	Outcome          Outcome
	Reason           string
	RetryAfter       clock.Span // delay in ms that the entry asks for before a resend
	Text             string     // concatenated texts of all events, or the body of a plain response
	Events           int
	Attempt          int        // number of the entry's attempt that the response comes from
	Sends            int        // number of sends by the caller
	TimeToFirstEvent clock.Span // ms to the first event, or to the body of a plain response
	Duration         clock.Span // ms to the end of the call
	Status           int        // HTTP status of the last send, 0 without a response
}

// Caller calls one service as one team.
type Caller struct {
	Service string
	Zone    string
	Team    string
	Entries []string // host:port of the entries that answer locate calls, tried in order

	client         *http.Client
	clock          clock.Clock
	mutex          sync.Mutex
	location       Location
	locationExpiry clock.Time
}

// NewCaller returns a caller that locates its service through the entries.
func NewCaller(service, zone, team string, entries ...string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &http.Client{Transport: transport}
	return &Caller{Service: service, Zone: zone, Team: team, Entries: entries, client: client, clock: clock.New()}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Locate returns the cached location, or requests a new one after its TTL.
func (c *Caller) Locate(ctx context.Context) (location Location, err error) {
	defer func() { err = errors.Wrap(err, "locate") }()
	c.mutex.Lock()
	location, expiry := c.location, c.locationExpiry
	c.mutex.Unlock()
	if len(location.Addresses) > 0 && c.clock.Now() < expiry {
		return location, nil
	}
	return c.RefreshLocation(ctx)
}

// RefreshLocation requests a new location from the entries and caches it, even within the TTL of the cached one.
func (c *Caller) RefreshLocation(ctx context.Context) (location Location, err error) {
	err = errors.New("no entries configured")
	for _, address := range c.Entries {
		location, err = c.locateAt(ctx, address)
		if err == nil && len(location.Addresses) > 0 {
			break
		}
	}
	if err != nil {
		return location, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.location = location
	c.locationExpiry = c.clock.Now().Add(location.TTL)
	return location, nil
}

func (c *Caller) locateAt(ctx context.Context, address string) (location Location, err error) {
	query := url.Values{"service": {c.Service}, "zone": {c.Zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/locate?"+query.Encode(), nil)
	if err != nil {
		return location, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return location, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return location, err
	}
	if response.StatusCode != http.StatusOK {
		return location, errors.Newf("locate at %s: status %d: %s", address, response.StatusCode, content)
	}
	return location, json.Unmarshal(content, &location)
}

// Do locates the service and sends the call. It resends the call if there is no complete response, and also after notrun if
// call.ResendNotRun is set, up to call.MaxSends sends in total and within the deadline.
func (c *Caller) Do(ctx context.Context, call Call) CallResult {
	start := c.clock.Now()
	location, err := c.Locate(ctx)
	if err != nil {
		return CallResult{ID: call.ID, Outcome: NoAnswer, Reason: err.Error()}
	}
	return c.DoAt(ctx, call, location, start)
}

// DoAt sends the call to the addresses of the given location in turn; start is the time from which the deadline counts.
func (c *Caller) DoAt(ctx context.Context, call Call, location Location, start clock.Time) CallResult {
	if call.Deadline == 0 {
		call.Deadline = defaultDeadline
	}
	if call.MaxSends == 0 {
		call.MaxSends = defaultMaxSends
	}
	result := CallResult{ID: call.ID, Outcome: NoAnswer}
	for send := 1; send <= call.MaxSends; send++ {
		left := start.Add(call.Deadline).Sub(c.clock.Now())
		if left <= 0 {
			break
		}
		address := location.Addresses[(send-1)%len(location.Addresses)]
		next := c.Send(ctx, call, address, location.Binding, send, left)
		next.Sends = send
		next.Duration = c.clock.Now().Sub(start)
		result = next
		if !c.waitToResend(ctx, call, result) {
			return result
		}
	}
	return result
}

// waitToResend waits before the next send and returns false if the call must not be sent again or ctx ends.
func (c *Caller) waitToResend(ctx context.Context, call Call, result CallResult) bool {
	switch {
	case result.Outcome == NoAnswer:
		return Sleep(ctx, minResendDelay)
	case result.Outcome == NotRun && call.ResendNotRun:
		return Sleep(ctx, max(result.RetryAfter, minResendDelay))
	default:
		return false
	}
}

// Send sends a call once to one address; left is the time in ms until its deadline.
func (c *Caller) Send(ctx context.Context, call Call, address, binding string, send int, left clock.Span) CallResult {
	result := CallResult{ID: call.ID, Outcome: NoAnswer, Sends: 1}
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + address + "/v1/call/" + c.Service + call.Path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(call.Body))
	if err != nil {
		result.Outcome, result.Reason = BadRequest, err.Error()
		return result
	}
	c.setHeaders(request.Header, call, binding, send, left)
	start := c.clock.Now()
	response, err := c.client.Do(request)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	reader := responseReader{result: &result, clock: c.clock, start: start}
	reader.read(response)
	result.Duration = c.clock.Now().Sub(start)
	return result
}

func (c *Caller) setHeaders(h http.Header, call Call, binding string, send int, left clock.Span) {
	h.Set("Request-Id", call.ID)
	h.Set("Team", c.Team)
	h.Set("Priority", strconv.Itoa(call.Priority))
	h.Set("Deadline", strconv.FormatInt(int64(left), 10))
	h.Set("Idempotent", strconv.FormatBool(call.Idempotent))
	h.Set("Send", strconv.Itoa(send))
	h.Set("Content-Type", "application/json")
	if binding != "" && !call.Idempotent {
		h.Set("Binding", binding)
	}
}

// Now returns the current time of the caller's clock.
func (c *Caller) Now() clock.Time {
	return c.clock.Now()
}
