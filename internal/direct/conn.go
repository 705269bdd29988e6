package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

const (
	dialTimeout   = 400 * clock.Millisecond // zones are milliseconds apart; what has not answered by then is gone or full
	idleDefault   = 4 * clock.Second        // use of a kept connection whose owner names no timeout
	idleMargin    = 700 * clock.Millisecond // a connection is given up so long before its owner closes it
	freshWithin   = clock.Second            // idle time up to which a connection may carry a request that must not run twice
	keptEach      = 16                      // idle connections kept for each backend server
	connBuffer    = 4 << 10                 // bytes read ahead
	probeIdle     = time.Second             // silence after which the kernel probes a connection
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// serverConn is a connection to a backend server; it carries one request at a time.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	limit  clock.Time // moment from which it must not be used again
	used   clock.Time // end of the last exchange
	reused bool
}

// abandon resets the connection: a request that is still held up on its way is lost with it, whereas after an orderly
// close it would reach the backend server once the way is free again.
func (c *serverConn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // whatever was on it is of no use any more
}

// connPool keeps idle connections to backend servers, by id.
type connPool struct {
	clock clock.Clock

	mu   sync.Mutex
	idle map[string][]*serverConn
}

func newConnPool(c clock.Clock) *connPool {
	return &connPool{clock: c, idle: make(map[string][]*serverConn)}
}

// get returns a kept connection to the backend server or opens one; fresh asks for one that was used a moment ago.
func (p *connPool) get(ctx context.Context, id, address string, fresh bool) (c *serverConn, err error) {
	for {
		c = p.take(id)
		if c == nil {
			return p.dial(ctx, address)
		}
		now := p.clock.Now()
		if now < c.limit && (!fresh || now.Sub(c.used) < freshWithin) && c.reader.Buffered() == 0 && quiet(c.Conn) {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // nothing is lost on an idle connection
	}
}

func (p *connPool) take(id string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[id]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[id] = kept[:len(kept)-1]
	return c
}

func (p *connPool) dial(ctx context.Context, address string) (c *serverConn, err error) {
	dialer := net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, connBuffer), limit: p.clock.Now().Add(idleDefault)}, nil
}

// put keeps a connection whose last exchange ended cleanly, up to most of them; idle is the owner's timeout, 0 where it
// names none.
func (p *connPool) put(id string, c *serverConn, idle clock.Span, most int) {
	c.used = p.clock.Now()
	if idle <= 0 {
		idle = idleDefault
	}
	c.limit = c.used.Add(idle - idleMargin)
	if idle <= idleMargin || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close() // nothing is lost on an idle connection
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= most {
		_ = c.Close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

// sweep closes connections that are past their time or whose backend server is no longer known.
func (p *connPool) sweep(known func(id string) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, kept := range p.idle {
		left := kept[:0]
		for _, c := range kept {
			if known(id) && now < c.limit {
				left = append(left, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[id] = left
		if len(left) == 0 {
			delete(p.idle, id)
		}
	}
}

// quiet tells, without waiting, whether a connection is open and has nothing to be read.
func quiet(conn net.Conn) bool {
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(descriptor uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return waits && err == nil
}

// maxCrossed is the number of answers to other requests that are skipped before a connection is given up.
const maxCrossed = 2

// head is the head of an answer; its body is read from the connection.
type head struct {
	response *http.Response
	answer   Answer
	crossed  int // answers to other requests that came before it
}

// readHead reads the head of the answer to the request with the id; answers to other requests are skipped.
func (c *serverConn) readHead(request *http.Request, id string, read func(int, http.Header) Answer) (h head, err error) {
	for {
		h.response, err = http.ReadResponse(c.reader, request) //nolint:bodyclose // read and closed by whoever takes the head
		if err != nil {
			return h, err
		}
		if h.response.StatusCode < http.StatusOK {
			continue
		}
		h.answer = read(h.response.StatusCode, h.response.Header)
		if h.answer.ID == id || h.answer.ID == "" {
			return h, nil
		}
		if h.crossed++; h.crossed > maxCrossed {
			return h, errors.Newf("%d answers to other requests", h.crossed)
		}
		if err := discard(h.response); err != nil {
			return h, errors.Wrap(err, "skip answer to another request")
		}
	}
}
