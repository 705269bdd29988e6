package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// testProtocol returns a protocol with short header names for these tests.
func testProtocol() Protocol {
	return Protocol{
		ParseRequest: func(h http.Header) RequestHeaders {
			budget, _ := strconv.Atoi(h.Get("Budget"))
			return RequestHeaders{ID: h.Get("Id"), APIKey: h.Get("Key"), Timeout: clock.Span(budget), LastEventID: h.Get("Last"), ExpectedServer: h.Get("Server"), ExpectsVersion: h.Get("Version") != ""}
		},
		SetForwardHeaders: func(h http.Header, f ForwardHeaders) {
			h.Del("Key")
			h.Set("Server", f.ServerID)
			h.Set("Team", f.Team)
			h.Set("Budget", strconv.Itoa(int(f.Timeout)))
			if f.LastEventID != "" {
				h.Set("Last", f.LastEventID)
			}
		},
		ParseResponse: func(status int, h http.Header) ResponseHeaders {
			cold, _ := strconv.Atoi(h.Get("Cold"))
			rate, _ := strconv.ParseFloat(h.Get("Rate"), 64)
			return ResponseHeaders{
				RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotExecuted: h.Get("Notrun") != "" || status == 421,
				Misdirected: status == 421, ServerID: h.Get("Server"), Reencoded: h.Get("Content-Encoding") != "", Cold: clock.Span(cold), RateLimit: rate,
			}
		},
		SetRejectionHeaders: func(h http.Header, id string, after clock.Span) {
			h.Set("Id", id)
			if after > 0 {
				h.Set("Retry-After", strconv.Itoa(int(after)))
			}
		},
		DecodeChange: func(Change) (Update, error) { return Update{}, nil },
		EncodeDirectory: func(addresses []string, _ clock.Span) ([]byte, error) {
			return []byte(strings.Join(addresses, " ")), nil
		},
		ParseDirectoryQuery: func(q url.Values) string { return q.Get("zone") },
		ReadyPath:           "/ready",
		DirectoryPath:       "/resolve",
	}
}

// testPeerSync returns the connection of a store reader to peers that are never ahead; read says whether it reads the store.
func testPeerSync(read bool, pull func(context.Context) error) PeerSync {
	return PeerSync{
		ShouldRead: func(bool) bool { return read },
		Pull:       pull,
		Notify:     func() {},
		Readers:    func(bool) (rank, count int) { return 0, 1 },
		Settings:   func() Settings { return Settings{} },
	}
}

// backendHandler serves one request on the connection of a fake backend server.
type backendHandler func(conn net.Conn, r *http.Request)

// fakeBackend is a backend server that records requests and serves them with a backendHandler.
type fakeBackend struct {
	address string

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (b *fakeBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

func newFakeBackend(t *testing.T, s backendHandler) *fakeBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	b := &fakeBackend{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, s)
		}
	}()
	return b
}

func (b *fakeBackend) serve(conn net.Conn, s backendHandler) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requests, b.bodies = append(b.requests, r), append(b.bodies, string(body))
		b.mu.Unlock()
		s(conn, r)
	}
}

// httpLines returns the text with the line ends of HTTP.
func httpLines(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\n", "\r\n")
}

// respond writes a response to r; text starts at the status code, and $ID stands for the id of r.
func respond(conn net.Conn, r *http.Request, text string) {
	text = httpLines(text)
	_, _ = io.WriteString(conn, "HTTP/1.1 "+strings.ReplaceAll(text, "$ID", r.Header.Get("Id")))
}

// respondOK writes a valid response with status 200.
func respondOK(conn net.Conn, r *http.Request) {
	respond(conn, r, "200 OK\nId: $ID\nSeal: s\nContent-Length: 5\n\nhello")
}

// testConfig returns a configuration that routes the paths of host a to the service s.
func testConfig() *routing.Config {
	config := &routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "safe", Host: "a", PathPrefix: "/safe/", Service: "s", Kind: routing.Idempotent, Timeout: 600, LatencyTarget: 100, MaxAttempts: 2},
			{Name: "unsafe", Host: "a", PathPrefix: "/unsafe/", Service: "s", Kind: routing.NonIdempotent, Timeout: 600, LatencyTarget: 100, MaxAttempts: 2},
			{Name: "stream", Host: "a", PathPrefix: "/stream/", Service: "s", Kind: routing.Stream, Timeout: 8000, LatencyTarget: 400, MaxAttempts: 2, Resumable: true},
			{Name: "fixed", Host: "a", PathPrefix: "/fixed/", Service: "s", Kind: routing.Stream, Timeout: 8000, LatencyTarget: 400, MaxAttempts: 2},
			{Name: "public", Host: "a", PathPrefix: "/public/", Service: "s", Kind: routing.Idempotent, Timeout: 600, MaxAttempts: 1, Public: true},
		},
		Services:   map[string]routing.Service{"s": {Name: "s"}},
		TeamsByKey: map[string]routing.Team{"k": {Name: "t"}},
		RequireKey: true,
		Limits:     routing.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000},
	}
	config.BuildIndex()
	return config
}

// newTestEntry returns an entry with the backend servers in its view, and its URL for callers.
func newTestEntry(t *testing.T, backends ...*fakeBackend) (e *Entry, address string) {
	t.Helper()
	s := Settings{Name: "e", Zone: "z", IP: "127.0.0.1", InternalPorts: []int{1, 2}, ShutdownGrace: 2000, RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10_000}
	e = newEntry(s, testProtocol(), clock.New(), telemetry.NewMetrics(), log.NewNopLogger())
	view := &routing.View{Config: testConfig(), Servers: map[string]*routing.Server{}, EvacuatedZones: map[string]bool{}, Owners: e.state.owners}
	for i, b := range backends {
		id := "i" + strconv.Itoa(i)
		view.Servers[id] = &routing.Server{ID: id, Service: "s", Address: b.address, Zone: "z", Slots: 4}
	}
	view.IndexServers(0)
	e.state.view.Store(view)
	close(e.joined)
	for range 100 { // fills the retry budget
		e.retries.recordRequest(&call{service: routing.Service{Name: "s"}}, e.clock.Now())
	}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

// callerResponse is a response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// doRequest sends a caller's request; err reports a failed or truncated response, and got is nil if no response started.
func doRequest(t *testing.T, ctx context.Context, method, url, body string, headers ...string) (got *callerResponse, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "a"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	r.Header.Set("Budget", "5000")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(response.Body)
	assert.NoError(t, response.Body.Close())
	return &callerResponse{status: response.StatusCode, header: response.Header, body: string(content)}, err
}
