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

// anyPort lets the system choose a free loopback port.
const anyPort = "127.0.0.1:0"

// bodyLimit is the largest request body in bytes.
const bodyLimit = 4 << 20

// Server is one running stand-in.
type Server struct {
	Address string // host:port

	app      *fiber.App
	listener *cuttable
	context  context.Context
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	clock    clock.Clock
}

func newServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	app := fiber.New(fiber.Config{
		BodyLimit:             bodyLimit,
		DisableStartupMessage: true,
		Immutable:             true,
		UnescapePath:          true,
	})
	return &Server{app: app, context: ctx, cancel: cancel, clock: clock.New()}
}

// start listens on address, or on a free loopback port where address is empty.
func (s *Server) start(address string) (err error) {
	defer func() { err = errors.Wrap(err, "start stand-in") }()
	if address == "" {
		address = anyPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = &cuttable{Listener: listener, conns: map[net.Conn]bool{}}
	s.Address = listener.Addr().String()
	s.tasks.Go(func() { _ = s.app.Listener(s.listener) })
	return nil
}

// Stop cuts all connections and returns when the stand-in has ended.
func (s *Server) Stop() {
	s.cancel()
	s.listener.cut(nil)
	_ = s.app.Shutdown()
	s.tasks.Wait()
}

// URL returns the address with its scheme.
func (s *Server) URL() string {
	return "http://" + s.Address
}

// every calls f each interval until the stand-in stops.
func (s *Server) every(interval clock.Span, f func()) {
	s.tasks.Go(func() {
		for s.sleep(interval) {
			f()
		}
	})
}

// sleep waits for the span and returns false where the stand-in stops first.
func (s *Server) sleep(span clock.Span) bool {
	return Sleep(s.context, span)
}

// cuttable remembers its open connections so that a fault can cut them all.
type cuttable struct {
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]bool
}

// Accept returns the next connection.
func (l *cuttable) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, owner: l}
	l.mutex.Lock()
	l.conns[tracked] = true
	l.mutex.Unlock()
	return tracked, nil
}

// cut closes all connections but one, which may be nil.
func (l *cuttable) cut(except net.Conn) {
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

// trackedConn counts the events of server-sent streams that went out, so that a cut can come right after one.
type trackedConn struct {
	net.Conn
	owner  *cuttable
	events atomic.Int64
	last   byte // touched by one writer at a time
}

// Write sends the bytes and counts the empty lines that end events.
func (c *trackedConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	for _, b := range content[:count] {
		if b == '\n' && c.last == '\n' {
			c.events.Add(1)
		}
		c.last = b
	}
	return count, err
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.owner.mutex.Lock()
	delete(c.owner.conns, c)
	c.owner.mutex.Unlock()
	return c.Conn.Close()
}
