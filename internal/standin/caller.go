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

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes of a call; the middle three are the words of the protocol.
const (
	Whole   Outcome = "whole"   // the whole answer came
	NotRun  Outcome = "notrun"  // proved not to have run
	Unknown Outcome = "unknown" // may have run
	Failed  Outcome = "failed"  // ran and failed, or is refused for good
	Bad     Outcome = "bad"     // the request itself is wrong
	Lost    Outcome = "lost"    // no answer from any address
	Broken  Outcome = "broken"  // an answer that breaks the protocol
)

const (
	defaultSends    = 4
	defaultDeadline = 10 * clock.Second
	resendPause     = 20 * clock.Millisecond
)

// Location is the answer to a locate call.
type Location struct {
	Addresses []string   `json:"addresses"`
	TTL       clock.Span `json:"ttl"` // ms
	Binding   string     `json:"binding"`
	Key       string     `json:"key"` // starts the ids of non-idempotent requests
}

// Call is one call of a caller.
type Call struct {
	ID         string     // whole request id
	Method     string     // empty for POST
	Path       string     // after the service, with a leading slash
	Body       []byte     // as sent
	Priority   int        // higher first
	Deadline   clock.Span // ms, 0 for the default of 10 s
	Idempotent bool
	Sends      int  // most sends of this id, 0 for the default of 4
	Patient    bool // sends again after notrun while the deadline allows
}

// Answer is what a caller got.
type Answer struct {
	ID      string
	Outcome Outcome
	Reason  string
	After   clock.Span // ms after which the entry wants a new send
	Text    string     // of all events, or the body of a plain answer
	Events  int
	Attempt int        // the entry's attempt that answered
	Sends   int        // by the caller
	First   clock.Span // ms to the first event
	All     clock.Span // ms to the end
	Status  int        // HTTP status of the last send
}

// Caller calls one service as one team.
type Caller struct {
	Service string
	Zone    string
	Team    string
	Entries []string // host:port to ask for addresses, in order

	client   *http.Client
	clock    clock.Clock
	mutex    sync.Mutex
	location Location
	until    clock.Time
}

// NewCaller returns a caller that asks the entries where to send its calls.
func NewCaller(service, zone, team string, entries ...string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &http.Client{Transport: transport}
	return &Caller{Service: service, Zone: zone, Team: team, Entries: entries, client: client, clock: clock.New()}
}

// Close ends idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Locate returns the kept answer to locate, or a new one where its ttl has passed.
func (c *Caller) Locate(ctx context.Context) (location Location, err error) {
	defer func() { err = errors.Wrap(err, "locate") }()
	c.mutex.Lock()
	location, until := c.location, c.until
	c.mutex.Unlock()
	if len(location.Addresses) > 0 && c.clock.Now() < until {
		return location, nil
	}
	return c.Relocate(ctx)
}

// Relocate asks the entries for addresses although the kept ones may still hold.
func (c *Caller) Relocate(ctx context.Context) (location Location, err error) {
	err = errors.New("no entry to ask")
	for _, address := range c.Entries {
		location, err = c.ask(ctx, address)
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
	c.until = c.clock.Now().Add(location.TTL)
	return location, nil
}

func (c *Caller) ask(ctx context.Context, address string) (location Location, err error) {
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

// Do sends the call until it has an answer, at most call.Sends times and within its deadline.
func (c *Caller) Do(ctx context.Context, call Call) Answer {
	start := c.clock.Now()
	location, err := c.Locate(ctx)
	if err != nil {
		return Answer{ID: call.ID, Outcome: Lost, Reason: err.Error()}
	}
	return c.DoAt(ctx, call, location, start)
}

// DoAt sends the call to the addresses of a location that the caller already has.
func (c *Caller) DoAt(ctx context.Context, call Call, location Location, start clock.Time) Answer {
	if call.Deadline == 0 {
		call.Deadline = defaultDeadline
	}
	if call.Sends == 0 {
		call.Sends = defaultSends
	}
	answer := Answer{ID: call.ID, Outcome: Lost}
	for send := 1; send <= call.Sends; send++ {
		left := start.Add(call.Deadline).Sub(c.clock.Now())
		if left <= 0 {
			break
		}
		address := location.Addresses[(send-1)%len(location.Addresses)]
		next := c.Send(ctx, call, address, location.Binding, send, left)
		next.Sends = send
		next.All = c.clock.Now().Sub(start)
		answer = next
		if !c.again(ctx, call, answer) {
			return answer
		}
	}
	return answer
}

// again waits before another send and returns false where there is none.
func (c *Caller) again(ctx context.Context, call Call, answer Answer) bool {
	switch {
	case answer.Outcome == Lost:
		return Sleep(ctx, resendPause)
	case answer.Outcome == NotRun && call.Patient:
		return Sleep(ctx, max(answer.After, resendPause))
	default:
		return false
	}
}

// Send makes one send of a call to one address; left is the rest of the deadline in ms.
func (c *Caller) Send(ctx context.Context, call Call, address, binding string, send int, left clock.Span) Answer {
	answer := Answer{ID: call.ID, Outcome: Lost, Sends: 1}
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + address + "/v1/call/" + c.Service + call.Path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(call.Body))
	if err != nil {
		answer.Outcome, answer.Reason = Bad, err.Error()
		return answer
	}
	c.fill(request.Header, call, binding, send, left)
	start := c.clock.Now()
	response, err := c.client.Do(request)
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	reader := answerReader{answer: &answer, clock: c.clock, start: start}
	reader.read(response)
	answer.All = c.clock.Now().Sub(start)
	return answer
}

func (c *Caller) fill(h http.Header, call Call, binding string, send int, left clock.Span) {
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

// Now returns the present moment of the caller's clock.
func (c *Caller) Now() clock.Time {
	return c.clock.Now()
}
