package direct

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func TestEntryForwards(t *testing.T) {
	b := newBackend(t, plainOK)
	_, url := newTestEntry(t, b)
	response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/x%2fy?q=1%20", "payload", "Own", "yes", "Connection", "Own2", "Team", "other")
	require.NoError(t, err)
	assert.Equal(t, 200, response.status)
	assert.Equal(t, "hello", response.body)
	assert.Equal(t, "s", response.header.Get("Seal"))
	require.Equal(t, 1, b.count())
	r := b.requests[0]
	assert.Equal(t, "/unsafe/x%2fy?q=1%20", r.RequestURI)
	assert.Equal(t, "payload", b.bodies[0])
	assert.Equal(t, []string{"a", "yes", "t", "i0", ""}, []string{r.Host, r.Header.Get("Own"), r.Header.Get("Team"), r.Header.Get("Server"), r.Header.Get("Key")})
}

func TestEntryTurnsAway(t *testing.T) {
	b := newBackend(t, plainOK)
	e, url := newTestEntry(t, b)
	cases := []struct {
		name, path, body string
		headers          []string
		want             int
	}{
		{"no route", "/nothing/", "", nil, 404},
		{"unknown key", "/safe/", "", []string{"Key", "x"}, 401},
		{"no id", "/safe/", "", []string{"Id", ""}, 400},
		{"large body", "/safe/", strings.Repeat("x", 1001), nil, 413},
		{"large header", "/safe/", "", []string{"Own", strings.Repeat("x", 4096)}, 431},
		{"public without a key", "/public/", "", []string{"Key", ""}, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, err := ask(t, t.Context(), http.MethodPost, url+c.path, c.body, c.headers...)
			require.NoError(t, err)
			assert.Equal(t, c.want, response.status)
		})
	}
	t.Run("no configuration yet", func(t *testing.T) {
		e.belief = NewBelief(testWire().Decode, e.clock, e.journal.Logger, nil)
		response, err := ask(t, t.Context(), http.MethodPost, url+"/nothing/", "")
		require.NoError(t, err)
		assert.Equal(t, 503, response.status)
		assert.NotEmpty(t, response.header.Get("Retry-After"))
	})
	assert.Equal(t, 1, b.count())
}

func TestEntryTellsTheTimeThatIsLeft(t *testing.T) {
	const lost = 150 // ms that the first attempt takes
	b := newBackend(t, once(func(conn net.Conn, _ *http.Request) {
		time.Sleep(lost * time.Millisecond)
		_ = conn.Close()
	}, plainOK))
	other := newBackend(t, plainOK)
	_, url := newTestEntry(t, b, other)
	for b.count() == 0 {
		response, err := ask(t, t.Context(), http.MethodGet, url+"/safe/", "")
		require.NoError(t, err)
		assert.Equal(t, 200, response.status)
	}
	require.Len(t, other.requests, other.count())
	left, err := strconv.Atoi(other.requests[len(other.requests)-1].Header.Get("Budget"))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 600-lost, "of the route's 600 ms")
	assert.Positive(t, left)
}

func TestEntryServesOnWhileItLeaves(t *testing.T) {
	e, _ := newTestEntry(t, newBackend(t, plainOK))
	server := httptest.NewServer(e)
	defer server.Close()
	left := make(chan struct{})
	go func() {
		defer close(left)
		e.leave([]*http.Server{server.Config})
	}()
	time.Sleep(100 * time.Millisecond)
	response, err := ask(t, t.Context(), http.MethodGet, server.URL+"/safe/", "")
	require.NoError(t, err, "callers may still hold its address")
	assert.Equal(t, 200, response.status)
	assert.False(t, e.ready(), "no new callers are sent here")
	<-left
	_, err = ask(t, t.Context(), http.MethodGet, server.URL+"/safe/", "")
	assert.Error(t, err)
}

// TestEntryKeepsToOpenGroups replays a group of ranks that never forms beside one that serves.
func TestEntryKeepsToOpenGroups(t *testing.T) {
	open := newBackend(t, plainOK)
	closed := newBackend(t, func(conn net.Conn, r *http.Request) {
		say(conn, r, "503 Service Unavailable\nId: $ID\nNotrun: 1\nContent-Length: 0\n\n")
	})
	e, url := newTestEntry(t, open, closed)
	for id, s := range e.belief.View().Servers {
		s.Group = "g" + id
	}
	start := time.Now()
	for range 60 {
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "")
		require.NoError(t, err)
		assert.Equal(t, 200, response.status)
	}
	trials := 2 + int(time.Since(start).Milliseconds())/int(firstTrialOfDoor)
	assert.LessOrEqual(t, closed.count(), trials, "of 60 requests")
}

// firstTrialOfDoor is the shortest time in ms between two trials of a group that rejects work.
const firstTrialOfDoor = 100

// once answers a request by the first script the first time, by the second from then on.
func once(first, then script) script {
	done := make(chan struct{}, 1)
	done <- struct{}{}
	return func(conn net.Conn, r *http.Request) {
		select {
		case <-done:
			first(conn, r)
		default:
			then(conn, r)
		}
	}
}

func reset(conn net.Conn, _ *http.Request) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func rejects(conn net.Conn, r *http.Request) {
	say(conn, r, "503 Full\nNotrun: 1\nContent-Length: 0\n\n")
}

func TestEntryRepeats(t *testing.T) {
	// Each script plays at whichever backend server the entry chooses first.
	cases := []struct {
		name, path string
		first      script
		want, runs int
	}{
		{"idempotent after a lost answer", "/safe/", reset, 200, 2},
		{"idempotent after a failure", "/safe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "500 E\nId: $ID\nSeal: s\nContent-Length: 0\n\n")
		}, 200, 2},
		{"not idempotent after a lost answer", "/unsafe/", reset, 502, 1},
		{"not idempotent after half an answer", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: $ID\nSeal: s\nContent-Length: 9\n\nhell")
			reset(conn, r)
		}, 502, 1},
		{"not idempotent after a rejection", "/unsafe/", rejects, 200, 2},
		{"not idempotent where another one has the address", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "421 Moved\nServer: i9\nContent-Length: 0\n\n")
		}, 200, 2},
		{"a success without proof", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: $ID\nContent-Length: 5\n\nhello")
		}, 502, 1},
		{"an answer to another request only", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: other\nSeal: s\nContent-Length: 5\n\nwrong")
			reset(conn, r)
		}, 502, 1},
		{"an answer to another request first", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: other\nSeal: s\nContent-Length: 5\n\nwrong")
			plainOK(conn, r)
		}, 200, 1},
		{"bytes that are no answer", "/unsafe/", func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Write([]byte("garbage\r\n\r\n"))
		}, 502, 1},
		{"an interim answer", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "103 Early\n\n")
			plainOK(conn, r)
		}, 200, 1},
		{"a recoded body", "/unsafe/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: $ID\nSeal: s\nContent-Encoding: gzip\nContent-Length: 5\n\nhello")
		}, 502, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := once(c.first, plainOK)
			first, second := newBackend(t, s), newBackend(t, s)
			_, url := newTestEntry(t, first, second)
			response, err := ask(t, t.Context(), http.MethodPost, url+c.path, "x")
			require.NoError(t, err)
			assert.Equal(t, c.want, response.status)
			assert.Equal(t, c.runs, first.count()+second.count())
			if c.want == 200 {
				assert.Equal(t, "hello", response.body)
			}
		})
	}
}

func TestEntryRefusesTruthfully(t *testing.T) {
	t.Run("rejected everywhere", func(t *testing.T) {
		_, url := newTestEntry(t, newBackend(t, rejects), newBackend(t, rejects))
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "x")
		require.NoError(t, err)
		assert.Equal(t, 503, response.status)
		assert.NotEmpty(t, response.header.Get("Retry-After"))
	})
	t.Run("not after one of them may have run it", func(t *testing.T) {
		s := once(reset, rejects)
		_, url := newTestEntry(t, newBackend(t, s), newBackend(t, s))
		response, err := ask(t, t.Context(), http.MethodPost, url+"/safe/", "x")
		require.NoError(t, err)
		assert.Equal(t, 502, response.status)
	})
	t.Run("a backend server's own failure keeps its status and proof", func(t *testing.T) {
		_, url := newTestEntry(t, newBackend(t, func(conn net.Conn, r *http.Request) {
			say(conn, r, "500 E\nId: $ID\nSeal: s\nContent-Length: 2\n\nno")
		}))
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "x")
		require.NoError(t, err)
		assert.Equal(t, []any{500, "s", "no"}, []any{response.status, response.header.Get("Seal"), response.body})
	})
	t.Run("the final answer comes when the route's time is over", func(t *testing.T) {
		hang := func(net.Conn, *http.Request) { time.Sleep(2 * time.Second) }
		_, url := newTestEntry(t, newBackend(t, hang))
		start := time.Now()
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "x")
		require.NoError(t, err)
		assert.Equal(t, 504, response.status)
		assert.InDelta(t, 600, time.Since(start).Milliseconds(), 250)
	})
}

func TestEntryFollowsTheCaller(t *testing.T) {
	closed := make(chan error, 1)
	b := newBackend(t, func(conn net.Conn, _ *http.Request) {
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	_, url := newTestEntry(t, b)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := ask(t, ctx, http.MethodPost, url+"/stream/", "x")
	require.Error(t, err)
	select {
	case err := <-closed:
		assert.ErrorIs(t, err, syscall.ECONNRESET, "a request that is held up on its way must be lost with the connection")
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the backend server still works half a second after the caller left")
	}
}

func TestEntryReusesConnections(t *testing.T) {
	addresses := map[string]bool{}
	b := newBackend(t, func(conn net.Conn, r *http.Request) {
		addresses[conn.RemoteAddr().String()] = true
		plainOK(conn, r)
	})
	_, url := newTestEntry(t, b)
	for range 5 {
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "x")
		require.NoError(t, err)
		require.Equal(t, 200, response.status)
	}
	assert.Len(t, addresses, 1)
}

func TestEntryDropsConnectionsWithMoreToRead(t *testing.T) {
	b := newBackend(t, func(conn net.Conn, r *http.Request) {
		plainOK(conn, r)
		plainOK(conn, r) // a second answer that nobody asked for
	})
	_, url := newTestEntry(t, b)
	for _, id := range []string{"r1", "r2", "r3"} {
		response, err := ask(t, t.Context(), http.MethodPost, url+"/unsafe/", "x", "Id", id)
		require.NoError(t, err)
		assert.Equal(t, []any{200, id}, []any{response.status, response.header.Get("Id")})
		time.Sleep(10 * time.Millisecond)
	}
}

func TestDirectoryAndReady(t *testing.T) {
	e, _ := newTestEntry(t)
	e.peers.hear(beat{Name: "p", IP: "127.0.0.2", Front: "127.0.0.2:1", Ready: true, Number: 1})
	e.peers.hear(beat{Name: "q", IP: "127.0.0.3", Front: "127.0.0.3:1", Number: 1})
	assert.Equal(t, []string{"127.0.0.2:1"}, e.peers.Fronts())
	assert.True(t, e.ready())
	e.leaving.Store(true)
	assert.False(t, e.ready())
	t.Run("a silent peer is not named", func(t *testing.T) {
		now := e.clock.Now().Add(silentAfter + 1)
		e.peers.clock = clock.Fixed(&now)
		assert.Empty(t, e.peers.Fronts())
	})
}
