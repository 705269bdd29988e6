package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLateCopyOfAnswer sends the answer to a request again, just before that to the next request on the same connection.
func TestLateCopyOfAnswer(t *testing.T) {
	for name, copied := range map[string]string{
		"of a plain answer":              "200 OK\nId: r1\nSeal: s\nContent-Length: 5\n\nfirst",
		"of a stream":                    "200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n" + chunk(sseEvent("1")) + "0\n\n",
		"without the id":                 "200 OK\nSeal: s\nContent-Length: 5\n\nfirst",
		"of a rejection":                 "503 Service Unavailable\nId: r1\nNotrun: 1\nContent-Length: 0\n\n",
		"of a rejection, without the id": "503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n",
		"that was cut":                   "200 OK\nId: r1\nSeal: s\nContent-Length: 50\n\nfirst",
		"without its headers":            "first",
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
				if r.Header.Get("Id") != "r1" {
					respond(conn, r, copied)
				}
				respond(conn, r, "200 OK\nId: $ID\nSeal: s\nContent-Length: 2\n\n$ID")
			})
			_, url := newTestEntry(t, b)
			for _, id := range []string{"r1", "r2", "r3"} {
				response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "x", "Id", id)
				if err == nil && response.status == http.StatusOK {
					assert.Equal(t, id, response.body)
				}
				if err == nil {
					assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}, response.status, "it has run")
				}
			}
		})
	}
}

// TestRejectionWrittenAgain guards against callers that are told "not run" of a request that runs, or such a request that runs at
// a second server: a server writes its rejection of a request once more as the same request comes again on the connection.
func TestRejectionWrittenAgain(t *testing.T) {
	const rejection = "503 Service Unavailable\nId: $ID\nNotrun: 1\nContent-Length: 0\n\n"
	// newFaulty returns a server that rejects each request on the connection on which it comes for the first time, and writes
	// that once more before it runs the request.
	newFaulty := func(t *testing.T) (b *fakeBackend, runs *atomic.Int64) {
		rejected, runs := sync.Map{}, &atomic.Int64{}
		return newFakeBackend(t, func(conn net.Conn, r *http.Request) {
			before, again := rejected.LoadOrStore(r.Header.Get("Id"), conn)
			if before == conn || !again {
				respond(conn, r, rejection)
			}
			if again {
				runs.Add(1)
				respondOK(conn, r)
			}
		}), runs
	}
	t.Run("a caller sends it again", func(t *testing.T) {
		b, runs := newFaulty(t)
		_, url := newTestEntry(t, b)
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "x", "Id", "r1")
			require.NoError(t, err)
			assert.Equal(t, want, response.status)
			time.Sleep(2 * minTurnAwayTest * time.Millisecond)
		}
		assert.EqualValues(t, 1, runs.Load())
	})
	t.Run("a request never comes to the server that rejected it", func(t *testing.T) {
		b, runs := newFaulty(t)
		e, url := newTestEntry(t, b)
		for i := range e.state.View().Config.Routes {
			e.state.View().Config.Routes[i].MaxAttempts = 5
		}
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "x", "Id", "r1")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.status)
		assert.Zero(t, runs.Load())
		assert.Equal(t, 1, b.count())
	})
	t.Run("other requests use the connection", func(t *testing.T) {
		b, _ := newFaulty(t)
		e, url := newTestEntry(t, b)
		for _, id := range []string{"r1", "r2"} {
			_, err := doRequest(t, t.Context(), http.MethodPost, url+"/unsafe/", "x", "Id", id)
			require.NoError(t, err)
			time.Sleep(2 * minTurnAwayTest * time.Millisecond)
		}
		e.conns.mu.Lock()
		defer e.conns.mu.Unlock()
		require.Len(t, e.conns.idle["i0"], 1)
		assert.Len(t, e.conns.idle["i0"][0].rejected, 2)
	})
	t.Run("a connection with many rejections is closed", func(t *testing.T) {
		c := &serverConn{}
		for range maxRejectedIDs {
			assert.True(t, c.addRejected("r"))
		}
		assert.False(t, c.addRejected("r"))
	})
}

// minTurnAwayTest is the time in ms for which a server is left alone after its first rejection.
const minTurnAwayTest = 50

// TestSlowStreams checks that a slow stream that makes progress is forwarded to its end, and that one that only sends bytes
// is ended.
func TestSlowStreams(t *testing.T) {
	t.Run("with events far apart", func(t *testing.T) {
		b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
			respond(conn, r, streamHead)
			for _, id := range []string{"1", "2", "3"} {
				time.Sleep(600 * time.Millisecond)
				_, _ = io.WriteString(conn, httpLines(chunk(sseEvent(id))))
			}
			_, _ = io.WriteString(conn, httpLines("0\n\n"))
		})
		_, url := newTestEntry(t, b)
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/fixed/", "x")
		require.NoError(t, err)
		assert.Equal(t, sseEvent("1")+sseEvent("2")+sseEvent("3"), response.body)
	})
	for name, first := range map[string]string{"that never has an event": "", "that stalls after an event": chunk(sseEvent("1"))} {
		t.Run("of bytes "+name, func(t *testing.T) {
			b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
				respond(conn, r, streamHead+first)
				for {
					if _, err := io.WriteString(conn, httpLines(chunk(":"))); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
			_, url := newTestEntry(t, b)
			start := time.Now()
			response, err := doRequest(t, t.Context(), http.MethodPost, url+"/fixed/", "x", "Budget", "700")
			assert.Less(t, time.Since(start), 2*time.Second)
			if err == nil {
				assert.NotEqual(t, http.StatusOK, response.status, "a stream that was ended must not look complete")
			}
		})
	}
}
