package standin

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// peerClosed reports whether the peer has closed a TCP connection, without consuming received bytes.
func peerClosed(conn net.Conn) bool {
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		count, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = count == 0
		if err != nil {
			closed = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		}
	})
	return closed || err != nil
}
