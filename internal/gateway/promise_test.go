package gateway

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFailureThatPromisesTooMuch guards against callers that send a request again which has run: the server answered with a status
// that promises "not run" to callers, without stating it.
func TestFailureThatPromisesTooMuch(t *testing.T) {
	for status, text := range map[int]string{408: "Request Timeout", 429: "Too Many Requests", 503: "Service Unavailable", 500: "Internal Server Error", 504: "Gateway Timeout"} {
		for path, repeatable := range map[string]bool{"/unsafe/": false, "/fixed/": false, "/safe/": true, "/stream/": true} {
			t.Run(path+strconv.Itoa(status), func(t *testing.T) {
				handler := func(conn net.Conn, r *http.Request) {
					respond(conn, r, strconv.Itoa(status)+" "+text+"\nId: $ID\nSeal: s\nRetry-After: 1\nContent-Length: 3\n\nran")
				}
				b, o := newFakeBackend(t, handler), newFakeBackend(t, handler)
				_, url := newTestEntry(t, b, o)
				response, err := doRequest(t, t.Context(), http.MethodPost, url+path, "x")
				require.NoError(t, err)
				if !repeatable && promisesNotRun(status) {
					assert.Equal(t, http.StatusBadGateway, response.status)
					assert.Empty(t, response.header.Get("Seal"))
					assert.Empty(t, response.header.Get("Retry-After"))
					assert.Equal(t, 1, b.count()+o.count())
					return
				}
				assert.Equal(t, status, response.status)
				assert.Equal(t, "s", response.header.Get("Seal"))
				assert.Equal(t, "ran", response.body)
			})
		}
	}
}
