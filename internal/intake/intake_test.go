package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

const (
	connCost = 10 << 10 // bytes of a connection
	patience = 5 * time.Second
)

// server is an HTTP server behind a Listener.
type server struct {
	address string
	share   *memory.Share
	maxHead atomic.Int64
	release chan struct{} // ends requests to /wait
}

func startServer(t *testing.T, limits memory.Limits) *server {
	budget := &memory.Budget{Clock: clock.New()}
	s := &server{share: budget.Share("port", limits), release: make(chan struct{})}
	s.maxHead.Store(2 << 10)
	listener, err := Listen(t.Context(), "127.0.0.1:0", Port{Share: s.share, Cost: connCost, MaxHead: func() int { return int(s.maxHead.Load()) }})
	require.NoError(t, err)
	s.address = listener.Addr().String()
	h := &http.Server{
		ReadHeaderTimeout: patience,
		ConnContext:       WithConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*Conn).EndRequest()
			}
		},
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			c := FromContext(r.Context())
			c.HeadRead()
			c.Holder().Pin()
			if r.URL.Path == "/wait" {
				<-s.release
			}
		}),
	}
	served := make(chan error, 1)
	go func() { served <- h.Serve(listener) }()
	t.Cleanup(func() {
		assert.NoError(t, h.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends the text and returns the status of the answer, 0 if the connection ends without one.
func ask(t *testing.T, conn net.Conn, text string) int {
	_, _ = io.WriteString(conn, text) // fails if the server has ended the connection, which the read sees
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	assert.NoError(t, response.Body.Close())
	return response.StatusCode
}

// head returns the head of a request with so many more bytes.
func head(path string, more int) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", path, strings.Repeat("x", more))
}

func (s *server) awaitUsage(t *testing.T, want int64) {
	t.Helper()
	assert.Eventually(t, func() bool { return s.share.Usage().Used == want }, patience, time.Millisecond, "%d bytes are held", want)
}

func TestHeads(t *testing.T) {
	s := startServer(t, memory.Limits{Bytes: 1 << 20})
	t.Run("within the limit", func(t *testing.T) {
		conn := s.dial(t)
		assert.Equal(t, http.StatusOK, ask(t, conn, head("/", 100)))
		s.awaitUsage(t, connCost)
		assert.Equal(t, http.StatusOK, ask(t, conn, head("/", 100)), "the next one on the connection")
		require.NoError(t, conn.Close())
		s.awaitUsage(t, 0)
	})
	t.Run("too large, and the client still sends", func(t *testing.T) {
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, ask(t, s.dial(t), head("/", 300<<10)))
		s.awaitUsage(t, 0)
	})
	t.Run("a lower limit holds on connections that are open", func(t *testing.T) {
		conn := s.dial(t)
		s.maxHead.Store(32 << 10)
		assert.Equal(t, http.StatusOK, ask(t, conn, head("/", 16<<10)))
		s.maxHead.Store(2 << 10)
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, ask(t, conn, head("/", 16<<10)))
	})
	t.Run("no room, and the caller may come again", func(t *testing.T) {
		small := startServer(t, memory.Limits{Bytes: connCost + 1<<10})
		assert.Equal(t, http.StatusServiceUnavailable, ask(t, small.dial(t), head("/", 1500)))
	})
}

func TestIdleConnectionIsEvicted(t *testing.T) {
	s := startServer(t, memory.Limits{Bytes: 1 << 20, Holders: 2})
	first, second := s.dial(t), s.dial(t)
	answered := make(chan int, 1)
	go func() { answered <- ask(t, first, head("/wait", 0)) }()
	s.awaitUsage(t, 2*connCost+int64(len(head("/wait", 0)))+4*lineCost)
	time.Sleep(2 * 100 * time.Millisecond) // so that the second one counts as idle
	assert.Equal(t, http.StatusOK, ask(t, s.dial(t), head("/", 0)))
	_, err := second.Read(make([]byte, 1))
	assert.Error(t, err, "the idle connection has ended")
	s.release <- struct{}{}
	assert.Equal(t, http.StatusOK, <-answered, "the request that was received whole is answered")
}

func TestMessages(t *testing.T) {
	budget := &memory.Budget{Clock: clock.New()}
	share := budget.Share("peers", memory.Limits{Bytes: 1 << 20})
	listener, err := Listen(t.Context(), "127.0.0.1:0", Port{Share: share, Cost: connCost, MaxHead: func() int { return 0 }, Messages: true})
	require.NoError(t, err)
	client, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	c := conn.(*Conn)
	const size = 100 << 10
	_, err = client.Write(make([]byte, size))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, size))
	require.NoError(t, err)
	assert.Equal(t, int64(connCost+size*messageFactor), share.Usage().Used, "a message that is not whole")
	kept := c.MessageHandled(size, size)
	assert.Equal(t, int64(size*messageFactor), kept)
	assert.Equal(t, int64(connCost)+kept, share.Usage().Used, "its call runs")
	c.Holder().Release(kept)
	assert.Equal(t, int64(connCost), share.Usage().Used)
	assert.Same(t, c, listener.Find(client.LocalAddr().String()))
	require.NoError(t, c.Close())
	assert.Nil(t, listener.Find(client.LocalAddr().String()))
	assert.Zero(t, share.Usage().Used)
	assert.NoError(t, client.Close())
	assert.NoError(t, listener.Close())
}
