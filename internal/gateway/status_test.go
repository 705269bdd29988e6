package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswerWithInvalidStatus guards against answers whose status the protocol does not have: they are taken neither for an answer nor
// for an interim one, after which the request would wait to its deadline.
func TestAnswerWithInvalidStatus(t *testing.T) {
	heads := map[string]string{
		"proof": "Id: $ID\nSeal: s\nContent-Length: 3\n\nran", "no proof": "Id: $ID\nContent-Length: 3\n\nran", "no id": "Content-Length: 3\n\nran",
		"not executed": "Id: $ID\nNotrun: 1\nContent-Length: 0\n\n",
	}
	for _, status := range []string{"000 OK", "001 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		for name, head := range heads {
			for _, before := range []string{"", "103 Early Hints\n\nHTTP/1.1 "} {
				for path, attempts := range map[string]int{"/unsafe/": 1, "/fixed/": 1, "/safe/": 2, "/stream/": 2} {
					t.Run(path+status+" "+name+" "+before, func(t *testing.T) {
						handler := func(conn net.Conn, r *http.Request) { respond(conn, r, before+status+"\n"+head) }
						b, o := newFakeBackend(t, handler), newFakeBackend(t, handler)
						_, url := newTestEntry(t, b, o)
						response, err := doRequest(t, t.Context(), http.MethodPost, url+path, "x")
						require.NoError(t, err)
						assert.Equal(t, http.StatusBadGateway, response.status, "at once, and without a promise")
						assert.Empty(t, response.header.Get("Seal"))
						assert.Empty(t, response.body)
						assert.Equal(t, attempts, b.count()+o.count())
					})
				}
			}
		}
	}
	t.Run("another backend server answers a safe request", func(t *testing.T) {
		handler := firstThen(func(conn net.Conn, r *http.Request) { respond(conn, r, "000 OK\n"+heads["proof"]) }, respondOK)
		_, url := newTestEntry(t, newFakeBackend(t, handler), newFakeBackend(t, handler))
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.status)
	})
	t.Run("a stream that goes on breaks off", func(t *testing.T) {
		handler := firstThen(streamEvents("2", false), func(conn net.Conn, r *http.Request) { respond(conn, r, "000 OK\n"+heads["proof"]) })
		_, url := newTestEntry(t, newFakeBackend(t, handler), newFakeBackend(t, handler))
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/stream/", "x")
		require.Error(t, err, "the stream must not look complete")
		assert.Equal(t, sseEvent("1")+sseEvent("2"), response.body)
	})
}
