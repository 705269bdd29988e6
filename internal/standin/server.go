package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"carawaypick/pkg/clock"
)

// anyLoopbackAddress makes the kernel choose a free loopback port.
const anyLoopbackAddress = "127.0.0.1:0"

// maxBodyBytes is the limit of a request body, and of a line in a stream that a caller reads.
const maxBodyBytes = 4 << 20

// Server is the HTTP server of one stand-in.
type Server struct {
	Address string // host:port

	app      *fiber.App
	listener *trackingListener
	context  context.Context
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	clock    clock.Clock
}

func newServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	app := fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		DisableStartupMessage: true,
		Immutable:             true,
		UnescapePath:          true,
	})
	return &Server{app: app, context: ctx, cancel: cancel, clock: clock.New()}
}

// start listens on address, or on a free loopback port if address is empty, and serves in the background.
func (s *Server) start(address string) (err error) {
	defer func() { err = errors.Wrap(err, "start stand-in") }()
	if address == "" {
		address = anyLoopbackAddress
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = &trackingListener{Listener: listener, conns: map[net.Conn]bool{}}
	s.listener.relisten = func() (net.Listener, error) { return s.listenAgain(listener.Addr().String()) }
	s.Address = listener.Addr().String()
	s.tasks.Go(func() { _ = s.app.Listener(s.listener) })
	return nil
}

// Stop closes all connections and blocks until the server and its tasks have ended.
func (s *Server) Stop() {
	s.cancel()
	s.listener.closeConns(nil)
	_ = s.app.Shutdown()
	_ = s.listener.Close() // closed by Shutdown unless the process restarted meanwhile
	s.tasks.Wait()
}

// URL returns the base URL of the server.
func (s *Server) URL() string {
	return "http://" + s.Address
}

// every calls f at each interval until the server stops.
func (s *Server) every(interval clock.Span, f func()) {
	s.tasks.Go(func() {
		for s.sleep(interval) {
			f()
		}
	})
}

// sleep waits for the span and returns false if the server stops first.
func (s *Server) sleep(span clock.Span) bool {
	return Sleep(s.context, span)
}

// relistenInterval is the time between two attempts to listen again, as the port may be in use for a moment.
const relistenInterval = clock.Millisecond

// listenAgain listens on address, repeatedly until it succeeds or the server stops.
func (s *Server) listenAgain(address string) (listener net.Listener, err error) {
	for {
		listener, err = net.Listen("tcp", address)
		if err == nil || !s.sleep(relistenInterval) {
			return listener, err
		}
	}
}

// trackingListener keeps track of its open connections so that a fault can close them all.
type trackingListener struct {
	net.Listener // replaced by each restart
	relisten     func() (net.Listener, error)

	mutex    sync.Mutex
	restarts int
	conns    map[net.Conn]bool
}

// Accept waits for the next connection and tracks it.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		l.mutex.Lock()
		listener, restarts := l.Listener, l.restarts
		l.mutex.Unlock()
		conn, err := listener.Accept()
		tracked, stale := l.track(conn, restarts)
		if stale {
			continue
		}
		if err != nil {
			return nil, err
		}
		return tracked, nil
	}
}

// track keeps track of a connection that was accepted after the given number of restarts, or closes it and returns true
// if the process has restarted since. The connection is nil if there was an error.
func (l *trackingListener) track(conn net.Conn, restarts int) (tracked *trackedConn, stale bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn == nil {
		return nil, restarts != l.restarts
	}
	if restarts != l.restarts {
		_ = conn.Close()
		return nil, true
	}
	tracked = &trackedConn{Conn: conn, owner: l}
	l.conns[tracked] = true
	return tracked, false
}

// Close stops listening.
func (l *trackingListener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Listener.Close()
}

// restart closes all connections except the given one (nil for all), as the end of the process does: also those that it
// has not accepted yet, which a new process never sees.
func (l *trackingListener) restart(except net.Conn) {
	l.mutex.Lock()
	l.restarts++
	_ = l.Listener.Close() // resets the connections that are not accepted yet
	if listener, err := l.relisten(); err == nil {
		l.Listener = listener // else the server stops
	}
	l.mutex.Unlock()
	l.closeConns(except)
}

// closeConns closes all accepted connections except the given one (nil for all).
func (l *trackingListener) closeConns(except net.Conn) {
	l.mutex.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		if c != except {
			conns = append(conns, c)
		}
	}
	l.mutex.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// trackedConn counts the server-sent events that it has sent, so that a fault can close the connection right after an event.
type trackedConn struct {
	net.Conn
	owner    *trackingListener
	events   atomic.Int64
	lastByte byte // last byte written; writes to one connection don't overlap
}

// Write sends content and counts the empty lines in it, each of which ends an event.
func (c *trackedConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	for _, b := range content[:count] {
		if b == '\n' && c.lastByte == '\n' {
			c.events.Add(1)
		}
		c.lastByte = b
	}
	return count, err
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.owner.mutex.Lock()
	delete(c.owner.conns, c)
	c.owner.mutex.Unlock()
	return c.Conn.Close()
}
