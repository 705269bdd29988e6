package standin

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestartClosesUnacceptedConnections guards against requests that reach the process after a restart over a connection
// to the process before it.
func TestRestartClosesUnacceptedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", anyLoopbackAddress)
	require.NoError(t, err)
	l := &trackingListener{Listener: listener, conns: map[net.Conn]bool{}}
	l.relisten = func() (net.Listener, error) { return net.Listen("tcp", listener.Addr().String()) }
	defer func() { assert.NoError(t, l.Close()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	l.restart(nil)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must be closed")
	t.Run("a new connection is accepted", func(t *testing.T) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		accepted, err := l.Accept()
		require.NoError(t, err)
		assert.NoError(t, accepted.Close())
	})
}
