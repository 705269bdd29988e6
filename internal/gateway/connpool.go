package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/internal/http1"
	"carawaypick/pkg/clock"
)

const (
	dialTimeout        = 400 * clock.Millisecond // zones are milliseconds apart, so a slower server is down or full
	defaultIdleTimeout = 4 * clock.Second        // for a backend server that sends no Keep-Alive timeout
	idleCloseMargin    = 700 * clock.Millisecond // an idle connection is closed this long before the backend server's idle timeout
	maxFreshIdle       = clock.Second            // longest idle time of a connection that carries a non-idempotent request
	maxIdlePerServer   = 16                      // idle connections to one backend server
	connBufferSize     = 4 << 10                 // bytes
	maxHeadBytes       = 64 << 10                // before the body of an answer: its head, interim responses and answers to other requests
	keepAliveIdle      = time.Second             // idle time before the first TCP keep-alive probe
	keepAliveInterval  = 500 * time.Millisecond  // between two TCP keep-alive probes
	keepAliveCount     = 3                       // unanswered probes after which the connection is closed
)

// serverConn is a connection to a backend server that carries one request at a time.
type serverConn struct {
	net.Conn
	reader      *bufio.Reader
	headLeft    int        // bytes that may still be read before the body of an answer
	inBody      bool       // the head was read, so that headLeft doesn't apply
	usableUntil clock.Time // the connection carries no further request from this time on
	lastUsed    clock.Time // end of the last exchange on the connection
	reused      bool
	rejected    []uint64 // hashes of the ids of the requests that were rejected on the connection
}

// maxRejectedIDs is the number of rejections after which a connection is closed.
const maxRejectedIDs = 32

// addRejected records that the request was rejected on the connection, and reports whether the connection may be used again. The
// request must not come to it again: the rejection may be written once more, and would be taken for its answer.
func (c *serverConn) addRejected(requestID string) (usable bool) {
	if len(c.rejected) == maxRejectedIDs {
		return false
	}
	c.rejected = append(c.rejected, xxhash.Sum64String(requestID))
	return true
}

// hasRejected reports whether the request was rejected on the connection.
func (c *serverConn) hasRejected(requestID string) bool {
	return len(c.rejected) > 0 && slices.Contains(c.rejected, xxhash.Sum64String(requestID))
}

// Read implements net.Conn; it fails once a head is too long.
func (c *serverConn) Read(p []byte) (n int, err error) {
	if c.inBody {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errors.Newf("more than %d bytes before the body of an answer", maxHeadBytes)
	}
	n, err = c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// reset closes the connection with a TCP RST, which discards a request that is still unsent or delayed in the network.
// After an orderly close, such a request would still reach the backend server once the path recovers.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // the connection's data is discarded either way
}

// connPool keeps idle connections by backend server id.
type connPool struct {
	clock clock.Clock
	open  func(ctx context.Context, address string) (net.Conn, error) // opens a connection

	mu   sync.Mutex
	idle map[string][]*serverConn
}

func newConnPool(c clock.Clock) *connPool {
	return &connPool{clock: c, open: openConn, idle: make(map[string][]*serverConn)}
}

// get returns an idle connection to the backend server on which the request was not rejected, or dials one; with fresh set, an
// idle connection must have been used within maxFreshIdle.
func (p *connPool) get(ctx context.Context, id, address, requestID string, fresh bool) (c *serverConn, err error) {
	for {
		c = p.pop(id, requestID)
		if c == nil {
			return p.dial(ctx, address)
		}
		now := p.clock.Now()
		if now < c.usableUntil && (!fresh || now.Sub(c.lastUsed) < maxFreshIdle) && c.reader.Buffered() == 0 && isIdle(c.Conn) {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // an idle connection has no data to lose
	}
}

func (p *connPool) pop(id, requestID string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[id]
	for i, c := range slices.Backward(kept) {
		if !c.hasRejected(requestID) {
			p.idle[id] = slices.Delete(kept, i, i+1)
			return c
		}
	}
	return nil
}

// openConn opens a connection to a backend server.
func openConn(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

func (p *connPool) dial(ctx context.Context, address string) (c *serverConn, err error) {
	conn, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	c = &serverConn{Conn: conn, usableUntil: p.clock.Now().Add(defaultIdleTimeout)}
	c.reader = bufio.NewReaderSize(c, connBufferSize)
	return c, nil
}

// put returns a connection to the pool after a complete exchange. It closes the connection if it has unread data, if it
// would time out too soon, or if the pool already has maxIdle connections to the backend server. The parameter idle is
// the backend server's idle timeout in ms, 0 if it sent none.
func (p *connPool) put(id string, c *serverConn, idle clock.Span, maxIdle int) {
	c.lastUsed = p.clock.Now()
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.usableUntil = c.lastUsed.Add(idle - idleCloseMargin)
	if idle <= idleCloseMargin || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close() // an idle connection has no data to lose
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

// closeExpired closes idle connections that are no longer usable or whose backend server is no longer known.
func (p *connPool) closeExpired(known func(id string) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, kept := range p.idle {
		usable := kept[:0]
		for _, c := range kept {
			if known(id) && now < c.usableUntil {
				usable = append(usable, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[id] = usable
		if len(usable) == 0 {
			delete(p.idle, id)
		}
	}
}

// isIdle reports, without blocking, whether the connection is open and has no unread data.
func isIdle(conn net.Conn) bool {
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Control(func(descriptor uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return wouldBlock && err == nil
}

// maxStrayResponses is the number of responses to other requests that are skipped before the connection is dropped.
const maxStrayResponses = 2

// responseHead is a response's status line and headers; its body is still to be read from the connection.
type responseHead struct {
	response *http.Response
	headers  ResponseHeaders
	strays   int // responses to other requests that were skipped before this one
}

// readResponseHead reads the head of the response to the request id, skipping interim responses and up to
// maxStrayResponses responses to other requests.
func (c *serverConn) readResponseHead(request *http.Request, id string, parse func(int, http.Header) ResponseHeaders) (h responseHead, err error) {
	c.headLeft, c.inBody = maxHeadBytes, false
	defer func() { c.inBody = err == nil }()
	for {
		h.response, err = http.ReadResponse(c.reader, request) //nolint:bodyclose // the caller reads and closes the body
		if err != nil {
			return h, err
		}
		if err := http1.CheckStatus(h.response.StatusCode); err != nil {
			return h, err
		}
		if http1.IsInterim(h.response.StatusCode) {
			continue
		}
		h.headers = parse(h.response.StatusCode, h.response.Header)
		if h.headers.RequestID == id || h.headers.RequestID == "" {
			return h, nil
		}
		if h.strays++; h.strays > maxStrayResponses {
			return h, errors.Newf("%d responses to other requests, dropping the connection", h.strays)
		}
		if err := drainBody(h.response); err != nil {
			return h, errors.Wrap(err, "skip response to another request")
		}
	}
}
