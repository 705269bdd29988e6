package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

const (
	lineCost       = 160                     // bytes of memory that a header line takes beside its own bytes once it is parsed
	headSlack      = 4 << 10                 // bytes that a server may read beyond a head
	lingerTime     = 5 * clock.Second        // for a client that still sends to read the answer, before its connection is reset
	lingerIdleTime = 500 * clock.Millisecond // without a byte, after which it has had the time to read it
	lingerBuffer   = 4 << 10                 // bytes that are read at once meanwhile
	lingerHead     = 256 << 10               // bytes that are read after a head that is refused
	answerTimeout  = 50 * clock.Millisecond  // for an answer of its own, which fits into the socket's buffer
)

// Answers of a Conn to a request that it refuses. They don't name a request, as its head is not known.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerFull     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is a connection of a client. It implements net.Conn.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *memory.Holder

	mu      sync.Mutex
	head    int   // bytes received of the head
	handled bool  // a handler counts what is read
	evicted bool  // the request ends by a read error
	refused bool  // an answer of its own was sent
	lingers bool  // the answer is sent, and what comes is discarded
	pending int64 // bytes of messages that were received and not handled yet
}

type contextKey struct{}

// WithConn returns a context that has the connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// FromContext returns the connection of WithConn, nil for none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn. It ends a request whose head is too large, or for which there is no room, with an answer.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if answer := c.count(p[:n]); answer != "" {
		c.refuse(answer)
		return 0, io.EOF
	}
	return n, err
}

// count takes the memory of received bytes; it returns the answer if the request is refused.
func (c *Conn) count(received []byte) (answer string) {
	c.holder.Received(len(received))
	if c.listener.port.Messages {
		return c.countMessage(len(received))
	}
	c.mu.Lock()
	handled := c.handled
	c.head += len(received)
	head := c.head
	c.mu.Unlock()
	if handled {
		return ""
	}
	cost := int64(len(received) + lineCost*bytes.Count(received, []byte{'\n'}))
	limit := c.listener.port.MaxHead()
	beyond := head - limit - headSlack
	if factor := c.listener.port.Factor; factor > 0 {
		if beyond > 0 {
			cost = int64(len(received)) * factor // of a body
		}
	} else if limit > 0 && beyond > 0 {
		return answerTooLarge
	}
	if c.holder.Take(cost) != nil {
		return answerFull
	}
	return ""
}

// refuse answers the request and lets the client read the answer.
func (c *Conn) refuse(answer string) {
	c.mu.Lock()
	if c.refused || c.evicted {
		c.mu.Unlock()
		return
	}
	c.refused = true
	c.mu.Unlock()
	if c.listener.port.Messages {
		return
	}
	_ = c.SetWriteDeadline(clock.Deadline(answerTimeout))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return // the client has gone
	}
	c.Linger(lingerHead)
}

// Linger ends the connection for writing, and reads and discards what the client still sends, at most so many bytes, as long as it does
// send. A connection that is closed with unread bytes is reset, and a client that sends its whole request before it reads would never see
// the answer. A connection that lingers holds no memory of a request, and is evicted like an idle one.
func (c *Conn) Linger(most int64) {
	c.mu.Lock()
	c.lingers = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails if the client has gone, as does the read
	}
	end := clock.Deadline(lingerTime)
	buffer := make([]byte, lingerBuffer)
	for most > 0 {
		deadline := clock.Deadline(lingerIdleTime)
		if end.Before(deadline) {
			deadline = end
		}
		if c.SetReadDeadline(deadline) != nil {
			return
		}
		n, err := c.Conn.Read(buffer[:min(most, lingerBuffer)])
		if err != nil {
			return
		}
		most -= int64(n)
	}
}

// evict ends the request, or the connection if no handler reads from it.
func (c *Conn) evict() {
	c.mu.Lock()
	handled, answers := c.handled && !c.lingers, c.head > 0 && !c.refused && !c.lingers && !c.listener.port.Messages
	c.evicted = true
	c.mu.Unlock()
	if handled {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the handler's read fails, and it answers
		return
	}
	if answers {
		_ = c.SetWriteDeadline(clock.Deadline(answerTimeout))
		_, _ = io.WriteString(c.Conn, answerFull) // the client may have gone
	}
	_ = c.Close() // whether or not the peer has gone
}

// SetReadDeadline implements net.Conn; it does not revive an evicted request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// HeadRead records that a handler has the request, and counts what it reads.
func (c *Conn) HeadRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// Holder returns the memory that the connection holds.
func (c *Conn) Holder() *memory.Holder {
	return c.holder
}

// EndRequest gives back the memory of a request that was answered.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	c.head, c.handled = 0, false
	c.mu.Unlock()
	c.holder.EndRequest()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	err := c.Conn.Close()
	c.holder.Close()
	return err
}
