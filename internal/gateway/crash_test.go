package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/routing"
)

// newEndingBackend returns a backend server whose process ends under each request, after it has sent the text as the begin
// of its response.
func newEndingBackend(t *testing.T, text string) *fakeBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // already closed if the process has ended
	b := &fakeBackend{address: listener.Addr().String()}
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			b.serve(conn, func(conn net.Conn, r *http.Request) {
				_ = listener.Close()
				if text != "" {
					respond(conn, r, text)
					_ = conn.Close()
					return
				}
				resetConn(conn, r)
			})
		}
	}()
	return b
}

func TestServerCrashed(t *testing.T) {
	crashes := func(t *testing.T, b *fakeBackend, prepare func(*routing.Server)) uint64 {
		e, url := newTestEntry(t, b)
		prepare(e.state.View().Servers["i0"])
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "x")
		require.NoError(t, err)
		assert.Equal(t, 502, response.status)
		return e.metrics.Crashes.Get("refused").Get()
	}
	t.Run("process ended", func(t *testing.T) {
		assert.EqualValues(t, 1, crashes(t, newEndingBackend(t, ""), func(*routing.Server) {}))
	})
	t.Run("connection reset by a running process", func(t *testing.T) {
		assert.Zero(t, crashes(t, newFakeBackend(t, resetConn), func(*routing.Server) {}))
	})
	t.Run("connection reset, and no answer to the next one", func(t *testing.T) {
		e, _ := newTestEntry(t, newFakeBackend(t, resetConn))
		s := *e.state.View().Servers["i0"]
		s.Address = "127.0.0.1:99999" // fails to dial, but not because a process refuses it
		assert.False(t, e.serverCrashed(&call{}, &s, &exchange{outcome: outcomeUnknown, err: io.ErrUnexpectedEOF}))
	})
	t.Run("shutdown after the registration has expired", func(t *testing.T) {
		assert.Zero(t, crashes(t, newEndingBackend(t, ""), func(s *routing.Server) { s.ExpiresAt = 1 << 40 }))
	})
}

func TestFingerprint(t *testing.T) {
	own := fingerprint("team", "/a/b", []byte("body"))
	assert.Equal(t, own, fingerprint("team", "/a/b", []byte("body")))
	for _, other := range []uint64{
		fingerprint("team2", "/a/b", []byte("body")),
		fingerprint("team", "/a/c", []byte("body")),
		fingerprint("team", "/a/b", []byte("bodies")),
		fingerprint("team/", "a/b", []byte("body")),
		fingerprint("team", "/a/bbo", []byte("dy")),
	} {
		assert.NotEqual(t, own, other)
	}
}

// TestCrashingRequestIsRejected guards against a request that reaches another backend server each time its caller sends it
// again, after it crashed those before.
func TestCrashingRequestIsRejected(t *testing.T) {
	cases := []struct {
		name, path    string
		text          string // begin of the responses
		cold          bool   // the backend servers are cold
		sends, status []int  // backend servers that one request reaches, and its final status, for each request in turn
	}{
		{"idempotent", "/safe/", "", false, []int{2, 0}, []int{502, 503}},
		{"stream", "/stream/", "", false, []int{2, 0}, []int{502, 503}},
		{"not idempotent", "/unsafe/", "", false, []int{1, 1, 0}, []int{502, 502, 503}},
		{"after a part of the answer", "/unsafe/", "200 OK\nId: $ID\nSeal: s\nContent-Length: 9\n\nhell", false, []int{1, 1, 1, 0}, []int{502, 502, 502, 503}},
		{"at cold backend servers", "/unsafe/", "", true, []int{1, 1, 1, 0}, []int{502, 502, 502, 503}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var backends []*fakeBackend
			for range 4 {
				backends = append(backends, newEndingBackend(t, c.text))
			}
			e, url := newTestEntry(t, backends...)
			if c.cold {
				for _, s := range e.state.View().Servers {
					s.ColdUntil = 1 << 40
				}
			}
			before := 0
			for i, status := range c.status {
				response, err := doRequest(t, t.Context(), http.MethodPost, url+c.path, "poison", "Id", "r"+strconv.Itoa(i))
				require.NoError(t, err)
				assert.Equal(t, status, response.status)
				reached := 0
				view := *e.state.View()
				for n, b := range backends {
					reached += b.count()
					if b.count() > 0 {
						delete(view.Servers, "i"+strconv.Itoa(n)) // its registration has expired
					}
				}
				view.IndexServers(0)
				e.state.view.Store(&view)
				assert.Equal(t, c.sends[i], reached-before)
				before = reached
				if status == 503 {
					after, err := strconv.Atoi(response.header.Get("Retry-After"))
					require.NoError(t, err)
					assert.InDelta(t, int64(suspectRetention/4), after, 1000, "the caller is told when the quarantine ends")
				}
			}
			assert.Equal(t, 0, int(e.active.Load()))
			t.Run("other content is served", func(t *testing.T) {
				ok := newFakeBackend(t, respondOK)
				view := *e.state.View()
				view.Servers = map[string]*routing.Server{"ok": {ID: "ok", Service: "s", Address: ok.address, Zone: "z", Slots: 4}}
				view.IndexServers(0)
				e.state.view.Store(&view)
				response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "innocent")
				require.NoError(t, err)
				assert.Equal(t, 200, response.status)
			})
		})
	}
}

// quarantine makes e reject the content of a request with the body to the path.
func quarantine(e *Entry, path, body string) {
	for _, id := range []string{"a", "b"} {
		e.suspects.addCrash(id, fingerprint("t", path, []byte(body)), false, nil)
	}
}

// TestQuarantineAppliesToRetries guards against a retry that is sent after other entries reported that the request crashes
// backend servers.
func TestQuarantineAppliesToRetries(t *testing.T) {
	var e *Entry
	report := func(conn net.Conn, r *http.Request) {
		quarantine(e, "/safe/", "poison")
		resetConn(conn, r)
	}
	first, second := newFakeBackend(t, report), newFakeBackend(t, report)
	e, url := newTestEntry(t, first, second)
	response, err := doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "poison")
	require.NoError(t, err)
	assert.Equal(t, 502, response.status, "it may have run")
	assert.NotEmpty(t, response.header.Get("Retry-After"))
	assert.Equal(t, 1, first.count()+second.count())
}

// TestQuarantinedRequestDoesNotWait guards against a request that waits for a place although it will not be sent.
func TestQuarantinedRequestDoesNotWait(t *testing.T) {
	e, url := newTestEntry(t, newFakeBackend(t, respondOK))
	quarantine(e, "/unsafe/", "poison")
	response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "poison")
	require.NoError(t, err)
	assert.Equal(t, 503, response.status)
	assert.Empty(t, e.admission.services, "the request does not enter a queue")
}

// TestQuarantinedRequestWaitsOn guards against a request that goes on waiting for a place after it was quarantined.
func TestQuarantinedRequestWaitsOn(t *testing.T) {
	release := make(chan struct{})
	e, url := newTestEntry(t, newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		<-release
		respondOK(conn, r)
	}))
	e.state.View().Servers["i0"].Slots = 1
	results := make(chan int, 2)
	for _, body := range []string{"sound", "poison"} {
		go func() {
			response, err := doRequest(t, t.Context(), http.MethodPost, url+"/stream/", body)
			assert.NoError(t, err)
			results <- response.status
		}()
		time.Sleep(50 * time.Millisecond)
	}
	quarantine(e, "/stream/", "poison")
	select {
	case status := <-results:
		assert.Equal(t, 503, status)
	case <-time.After(200 * time.Millisecond):
		t.Error("the quarantined request still waits")
	}
	close(release)
	<-results
}

// TestCompletedRequestIsNotQuarantined guards against the rejection of a content that only happened to be in flight where
// backend servers crashed.
func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	e, url := newTestEntry(t, newFakeBackend(t, respondOK))
	for range 2 {
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "popular")
		require.NoError(t, err)
		assert.Equal(t, 200, response.status)
		quarantine(e, "/unsafe/", "popular")
	}
}

// TestUnframedAnswerLooksComplete guards against an answer without a length or chunks that passes for complete although its
// backend server has ended.
func TestUnframedAnswerLooksComplete(t *testing.T) {
	const head = "200 OK\nId: $ID\nSeal: s\nContent-Type: text/event-stream\n\n"
	for _, v := range []struct{ name, path, sent string }{
		{"a stream before its first event", "/fixed/", ""},
		{"a stream between events", "/fixed/", sseEvent("1") + sseEvent("2")},
		{"a body", "/unsafe/", "hel"},
	} {
		t.Run(v.name, func(t *testing.T) {
			ending := newEndingBackend(t, head+v.sent)
			e, url := newTestEntry(t, ending)
			response, err := doRequest(t, t.Context(), http.MethodPost, url+v.path, "x")
			if err == nil {
				assert.Equal(t, http.StatusBadGateway, response.status)
			}
			assert.EqualValues(t, 1, e.metrics.Crashes.Get("refused").Get(), "evidence of a crash")
		})
	}
}
