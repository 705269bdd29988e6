package intake

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/memory"
)

// receiveBuffer is the size in bytes of a connection's socket buffer for what was received and is not read yet.
const receiveBuffer = 32 << 10

// Port is what a Listener needs to know of a port and its server.
type Port struct {
	Share    *memory.Share
	Cost     int64      // bytes of memory that a connection takes without a request
	MaxHead  func() int // maximum bytes of a head, which may change; 0 for no limit
	Factor   int64      // bytes of memory for each byte of a body that the server reads by itself; 0 if handlers count bodies
	Messages bool       // the connections carry messages of other processes rather than HTTP/1 requests
}

// Listener accepts connections of a port. It implements net.Listener.
type Listener struct {
	net.Listener
	port Port

	mu    sync.Mutex
	conns map[string]*Conn // by remote address
}

// Listen listens at the TCP address.
func Listen(ctx context.Context, address string, port Port) (l *Listener, err error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", port.Share.Name)
	}
	return &Listener{Listener: inner, port: port, conns: make(map[string]*Conn)}, nil
}

// limitReceiveBuffer sets the socket buffer before the socket listens, so that accepted connections have it.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// A system that refuses the size keeps its own.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// Accept implements net.Listener. Connections for which there is no room are closed, so that their callers go elsewhere at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l}
		c.holder, err = l.port.Share.Open(l.port.Cost, c.evict)
		if err != nil {
			_ = inner.Close() // nothing was read from it
			continue
		}
		l.mu.Lock()
		l.conns[inner.RemoteAddr().String()] = c
		l.mu.Unlock()
		return c, nil
	}
}

// Find returns the open connection from the remote address, nil for none.
func (l *Listener) Find(remote string) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[remote]
}

func (l *Listener) remove(c *Conn) {
	remote := c.RemoteAddr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[remote] == c {
		delete(l.conns, remote)
	}
}
