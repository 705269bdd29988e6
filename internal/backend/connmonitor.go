package backend

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// connMonitor is an idle connection to the backend server. The operating system closes it when the server's process
// ends, so a restart is detected without a request and before any answer of the new process.
type connMonitor struct {
	mu    sync.Mutex
	conn  net.Conn
	epoch uint64 // number of times that the connection was found closed
}

// current checks the connection and returns the epoch.
func (m *connMonitor) current() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.check()
}

// check increments the epoch if the connection is closed, and returns the epoch; mu is held.
func (m *connMonitor) check() uint64 {
	if m.conn != nil && peerClosed(m.conn) {
		_ = m.conn.Close()
		m.conn = nil
		m.epoch++
	}
	return m.epoch
}

// ensureOpen opens the connection if there is none and returns the epoch that the connection belongs to.
func (m *connMonitor) ensureOpen(ctx context.Context, dial func(context.Context) (net.Conn, error)) (epoch uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch = m.check(); m.conn != nil {
		return epoch, nil
	}
	m.conn, err = dial(ctx)
	return epoch, errors.Wrap(err, "open monitor connection")
}

// peerClosed reports whether the other side has closed the connection, without blocking.
func peerClosed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stillOpen := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !stillOpen && (err != nil || n == 0)
	})
	return closed || err != nil
}
