package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

const bodyLimit = 4 << 20 // bytes that the configuration of these tests allows

// startPort serves an entry's callers on a port with the memory of an instance of so many MiB, which is some 0.26 of it for large bodies.
func startPort(t *testing.T, memoryMB int64) (e *Entry, b *fakeBackend, address string) {
	b = newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		respond(conn, r, fmt.Sprintf("200 OK\nId: $ID\nSeal: s\nContent-Length: %d\n\n%s", len(sseEvent("1")), sseEvent("1")))
	})
	e, _ = newTestEntry(t, b)
	e.state.View().Config.Limits.MaxBodyBytes = bodyLimit
	e.memory = newShares(Settings{Memory: memoryMB << 20, Sockets: 1000}, clock.New())
	listener, server, err := e.listen(t.Context(), "127.0.0.1:0", e.memory.front, e.maxHead, e)
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NoError(t, server.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return e, b, listener.Addr().String()
}

// begin sends the head of a request with a body of the declared length and the first bytes of the body.
func begin(t *testing.T, address, id string, declared, sent int) net.Conn {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: a\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n", id, declared)
	require.NoError(t, err)
	_, _ = io.WriteString(conn, strings.Repeat("x", sent)) // fails if the request was rejected already
	return conn
}

func answerTo(t *testing.T, conn net.Conn) callerResponse {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	if response.Close {
		response.Header.Set("Connection", "close") // which the library takes out
	}
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(content)}
}

func assertRejectedForMemory(t *testing.T, response callerResponse, id string) {
	t.Helper()
	assert.Equal(t, http.StatusServiceUnavailable, response.status)
	assert.Equal(t, id, response.header.Get("Id"))
	assert.NotEmpty(t, response.header.Get("Retry-After"))
	assert.Equal(t, "close", response.header.Get("Connection"))
}

// TestBodiesWithoutRoom guards against callers that don't hear in time, or not truthfully, that there is no room for their bodies.
func TestBodiesWithoutRoom(t *testing.T) {
	t.Run("a body that stopped is evicted and was not run", func(t *testing.T) {
		_, b, address := startPort(t, 18)
		stopped := begin(t, address, "stopped", bodyLimit, bodyLimit-1)
		time.Sleep(4 * time.Second)
		assert.Equal(t, http.StatusOK, answerTo(t, begin(t, address, "next", bodyLimit, bodyLimit)).status)
		assertRejectedForMemory(t, answerTo(t, stopped), "stopped")
		require.Equal(t, 1, b.count())
		assert.Equal(t, "next", b.requests[0].Header.Get("Id"))
		assert.Len(t, b.bodies[0], bodyLimit)
	})
	t.Run("a body without room is rejected before it is read", func(t *testing.T) {
		_, b, address := startPort(t, 8)
		assertRejectedForMemory(t, answerTo(t, begin(t, address, "large", bodyLimit, 0)), "large")
		assert.Equal(t, http.StatusOK, answerTo(t, begin(t, address, "small", 5, 5)).status)
		assert.Equal(t, 1, b.count())
	})
	t.Run("a caller that sends on hears it", func(t *testing.T) {
		_, _, address := startPort(t, 8)
		conn := begin(t, address, "large", bodyLimit, bodyLimit)
		assertRejectedForMemory(t, answerTo(t, conn), "large")
	})
	t.Run("a caller on a slow link that reads nothing before it has sent all hears it", func(t *testing.T) {
		_, _, address := startPort(t, 8)
		conn := begin(t, address, "large", bodyLimit, 0)
		for range 64 {
			time.Sleep(30 * time.Millisecond)
			_, err := io.WriteString(conn, strings.Repeat("x", bodyLimit/64))
			require.NoError(t, err)
		}
		assertRejectedForMemory(t, answerTo(t, conn), "large")
	})
	t.Run("a body that is too large is not read", func(t *testing.T) {
		_, b, address := startPort(t, 200)
		assert.Equal(t, http.StatusRequestEntityTooLarge, answerTo(t, begin(t, address, "large", bodyLimit+1, 0)).status)
		assert.Zero(t, b.count())
	})
	t.Run("all is given back", func(t *testing.T) {
		e, _, address := startPort(t, 200)
		conn := begin(t, address, "large", bodyLimit, bodyLimit)
		assert.Equal(t, http.StatusOK, answerTo(t, conn).status)
		assert.Eventually(t, func() bool { return e.memory.front.Usage().Used == connectionCost }, time.Second, time.Millisecond)
		require.NoError(t, conn.Close())
		assert.Eventually(t, func() bool { return e.memory.front.Usage().Used == 0 }, time.Second, time.Millisecond)
		assert.Zero(t, e.memory.answers.Usage().Used)
	})
}

// TestBodyOutlastsDeadline guards against bodies that are waited for after the time in which the request could be served.
func TestBodyOutlastsDeadline(t *testing.T) {
	_, b, address := startPort(t, 200)
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /safe/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\nContent-Length: 5\r\n\r\nhell")
	require.NoError(t, err)
	response := answerTo(t, conn)
	assert.Equal(t, http.StatusRequestTimeout, response.status)
	assert.Equal(t, "1", response.header.Get("Id"))
	assert.Zero(t, b.count())
}

func TestReadPieces(t *testing.T) {
	const limit = 200 << 10
	for _, length := range []int{0, 1, firstPiece, firstPiece + 1, bodyPiece, bodyPiece + firstPiece, limit} {
		for _, declared := range []bool{true, false} {
			t.Run(fmt.Sprint(length, declared), func(t *testing.T) {
				text, taken := strings.Repeat("ab", length)[:length], int64(0)
				declaredLength := int64(-1)
				if declared {
					declaredLength = int64(length)
				}
				body, err := readPieces(strings.NewReader(text), declaredLength, limit, func(n int64) error {
					taken += n
					return nil
				})
				require.NoError(t, err)
				read, err := io.ReadAll(body.reader())
				require.NoError(t, err)
				assert.Equal(t, text, string(read))
				kept := 0
				for _, piece := range body {
					kept += cap(piece)
				}
				assert.LessOrEqual(t, int64(kept), taken, "bytes that are kept and were not taken")
			})
		}
	}
	none := func(int64) error { return nil }
	t.Run("too large", func(t *testing.T) {
		_, err := readPieces(strings.NewReader(strings.Repeat("a", limit+1)), -1, limit, none)
		assert.ErrorIs(t, err, errBodyTooLarge)
	})
	t.Run("cut", func(t *testing.T) {
		_, err := readPieces(io.MultiReader(strings.NewReader("abc"), brokenReader{}), -1, limit, none)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("no room", func(t *testing.T) {
		_, err := readPieces(strings.NewReader("abc"), -1, limit, func(int64) error { return memory.ErrFull })
		assert.ErrorIs(t, err, memory.ErrFull)
	})
}

// brokenReader is a body that ends before it is whole.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
