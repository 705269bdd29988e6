package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/routing"
)

// newEndingBackend returns a backend server whose process ends under each request.
func newEndingBackend(t *testing.T) *fakeBackend {
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
		assert.EqualValues(t, 1, crashes(t, newEndingBackend(t), func(*routing.Server) {}))
	})
	t.Run("connection reset by a running process", func(t *testing.T) {
		assert.Zero(t, crashes(t, newFakeBackend(t, resetConn), func(*routing.Server) {}))
	})
	t.Run("shutdown after the registration has expired", func(t *testing.T) {
		assert.Zero(t, crashes(t, newEndingBackend(t), func(s *routing.Server) { s.ExpiresAt = 1 << 40 }))
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
