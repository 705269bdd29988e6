package gateway

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// servesAs returns a handler of a backend server with the id, which rejects requests for another one.
func servesAs(id string) backendHandler {
	return func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Server") != id {
			respond(conn, r, "421 Misdirected Request\nId: $ID\nServer: "+id+"\nContent-Length: 0\n\n")
			return
		}
		respondOK(conn, r)
	}
}

// setServers publishes a view with other registrations.
func setServers(e *Entry, change func(servers map[string]*routing.Server)) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	next := e.state.copyView()
	change(next.Servers)
	e.state.publish(next)
}

// sentFor returns the numbers of requests that reached the backend server, by the id that they were sent to.
func (b *fakeBackend) sentFor() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := make(map[string]int)
	for _, r := range b.requests {
		sent[r.Header.Get("Server")]++
	}
	return sent
}

func requireServed(t *testing.T, url string, count int) {
	t.Helper()
	for range count {
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.status)
	}
}

// TestForeignRegistrations guards against requests that fail because other registrations name the addresses of sound servers.
func TestForeignRegistrations(t *testing.T) {
	foreign := func(servers map[string]*routing.Server, id, address string, startedAt int64, now clock.Time) {
		servers[id] = &routing.Server{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4096, StartedAt: startedAt, SeenAt: now}
	}
	t.Run("they were there before the first request", func(t *testing.T) {
		backends := []*fakeBackend{newFakeBackend(t, servesAs("i0")), newFakeBackend(t, servesAs("i1")), newFakeBackend(t, servesAs("i2"))}
		e, url := newTestEntry(t, backends...)
		setServers(e, func(servers map[string]*routing.Server) {
			for i, b := range backends {
				for k := range 5 {
					foreign(servers, "a"+strconv.Itoa(5*i+k), b.address, int64(k+1), -1)
				}
			}
		})
		requireServed(t, url, 40)
		for i, b := range backends {
			sent := b.sentFor()
			delete(sent, "i"+strconv.Itoa(i))
			assert.LessOrEqual(t, len(sent), 1, "its first answer names it")
		}
	})
	t.Run("they are written again and again", func(t *testing.T) {
		b := newFakeBackend(t, servesAs("i0"))
		e, url := newTestEntry(t, b)
		requireServed(t, url, 1)
		start := e.clock.Now()
		for n := range 60 {
			setServers(e, func(servers map[string]*routing.Server) {
				foreign(servers, "a"+strconv.Itoa(n%3), b.address, int64(n+1), e.clock.Now())
			})
			requireServed(t, url, 1)
		}
		assert.LessOrEqual(t, b.count()-b.sentFor()["i0"], 1+int(e.clock.Since(start)/minTrialPause), "requests that were misdirected")
	})
	t.Run("a restart under another id is used at once", func(t *testing.T) {
		b := newFakeBackend(t, servesAs("i9"))
		e, url := newTestEntry(t, b)
		e.state.owners.Prove(b.address, "i0", e.clock.Now())
		setServers(e, func(servers map[string]*routing.Server) { foreign(servers, "i9", b.address, 5, e.clock.Now()+1) })
		requireServed(t, url, 10)
		assert.LessOrEqual(t, b.sentFor()["i0"], 1)
	})
}

// TestRejectedVersion guards against callers that take servers out of use: a 421 of the server itself is about the request.
func TestRejectedVersion(t *testing.T) {
	for name, server := range map[string]string{"the server names itself": "\nServer: i0", "it names nobody": ""} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
				if r.Header.Get("Version") != "" {
					respond(conn, r, "421 Misdirected Request\nId: $ID"+server+"\nContent-Length: 0\n\n")
					return
				}
				respondOK(conn, r)
			})
			_, url := newTestEntry(t, b)
			response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "", "Version", "2")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.status)
			requireServed(t, url, 3)
		})
	}
}

// TestServerThatRejectsAll guards against a server that draws requests because it rejects all of them as if they were meant for
// another one.
func TestServerThatRejectsAll(t *testing.T) {
	sound := newFakeBackend(t, servesAs("i0"))
	rejecting := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		respond(conn, r, "421 Misdirected Request\nId: $ID\nServer: i1\nContent-Length: 0\n\n")
	})
	e, url := newTestEntry(t, sound, rejecting)
	start := e.clock.Now()
	requireServed(t, url, 100)
	assert.LessOrEqual(t, rejecting.count(), 3+int(e.clock.Since(start)/400), "it is tried after pauses of 400 ms or more")
}

// TestEntryRegisteredAsServer guards against requests that go from entry to entry, since a registration names one of them.
func TestEntryRegisteredAsServer(t *testing.T) {
	b := newFakeBackend(t, servesAs("i0"))
	e, url := newTestEntry(t, b)
	s := *e.settings.Load()
	s.Front = strings.TrimPrefix(url, "http://")
	e.settings.Store(&s)
	setServers(e, func(servers map[string]*routing.Server) {
		servers["a"] = &routing.Server{ID: "a", Service: "s", Address: s.Front, Zone: "z", Slots: 100, SeenAt: -1}
	})
	requireServed(t, url, 20)
	assert.Equal(t, routing.Closed, e.state.View().Contested["a"])
}
