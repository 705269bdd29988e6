package backend

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// sentinel is an idle connection to the backend server. The system closes it with the process at its other end,
// so it tells of a restart before any answer could and without asking.
type sentinel struct {
	mu    sync.Mutex
	conn  net.Conn
	epoch uint64 // times that the connection was found broken
}

// now returns the epoch after a look at the connection.
func (s *sentinel) now() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.look()
}

// look returns the epoch; mu is held.
func (s *sentinel) look() uint64 {
	if s.conn != nil && broken(s.conn) {
		_ = s.conn.Close()
		s.conn = nil
		s.epoch++
	}
	return s.epoch
}

// ensure opens the connection where there is none and returns the epoch that it stands for.
func (s *sentinel) ensure(ctx context.Context, dial func(context.Context) (net.Conn, error)) (epoch uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch = s.look(); s.conn != nil {
		return epoch, nil
	}
	s.conn, err = dial(ctx)
	return epoch, errors.Wrap(err, "open sentinel")
}

// broken tells whether the other side has closed the connection, without waiting.
func broken(conn net.Conn) bool {
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
		waits := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !waits && (err != nil || n == 0)
	})
	return closed || err != nil
}
