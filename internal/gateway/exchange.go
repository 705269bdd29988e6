package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// outcome is how one attempt at a backend server ended.
type outcome int

const (
	outcomeAnswered    outcome = iota // a response was received
	outcomeNotExecuted                // the request did not run and will not run
	outcomeUnknown                    // the request may have run
)

// exchange is one attempt of a request at one backend server.
type exchange struct {
	outcome     outcome
	err         error  // why there is no complete response
	reason      string // word for the failure in logs and metrics
	response    *http.Response
	headers     ResponseHeaders
	conn        *serverConn
	progressed  bool       // the backend server sent a part of its answer
	partsSound  bool       // it has been writing for so long that no part of the prompt crashes it
	reusable    bool       // the connection may be kept for another request
	idleTimeout clock.Span // the backend server's idle timeout in ms, 0 if it sent none
	detach      func()     // keeps the end of the context from resetting the connection
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEndHeaders returns a copy of h without the hop-by-hop headers and those that Connection lists.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// outgoingRequest returns the request to send to a backend server.
func outgoingRequest(in *http.Request, body bodyPieces) *http.Request {
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Opaque: in.RequestURI},
		Host:          in.Host,
		Header:        endToEndHeaders(in.Header),
		ContentLength: int64(body.size()),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	out.Header.Del("Content-Length")
	if _, sent := out.Header["User-Agent"]; !sent {
		out.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if len(body) > 0 {
		out.Body = io.NopCloser(body.reader())
	}
	return out
}

// send writes the request to s and reads the response head; the end of ctx resets the connection. With fresh set, it
// reuses only a connection that was idle for at most maxFreshIdle.
func (e *Entry) send(ctx context.Context, s *routing.Server, request *http.Request, id string, fresh bool) (x exchange) {
	conn, err := e.conns.get(ctx, s.ID, s.Address, id, fresh)
	if isLocal(err) {
		return exchange{outcome: outcomeNotExecuted, err: err, reason: reasonLocal}
	}
	if err != nil {
		return exchange{outcome: outcomeNotExecuted, err: err, reason: "dial"}
	}
	stop := context.AfterFunc(ctx, conn.reset)
	x = exchange{outcome: outcomeUnknown, conn: conn, detach: func() { stop() }}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			x.outcome, x.err, x.reason = outcomeNotExecuted, err, "closed"
			x.close()
			return x
		}
	}
	out := bufio.NewWriterSize(conn, connBufferSize)
	if x.err = request.Write(out); x.err == nil {
		x.err = out.Flush()
	}
	if x.err != nil {
		x.reason = "write"
		x.close()
		return x
	}
	h, err := conn.readResponseHead(request, id, e.protocol.ParseResponse)
	if err != nil {
		x.err, x.reason = err, readFailureReason(ctx, err)
		x.close()
		return x
	}
	x.response, x.headers = h.response, h.headers
	x.reusable = h.strays == 0 && !h.response.Close && h.response.ProtoAtLeast(1, 1)
	x.idleTimeout = keepAliveTimeout(h.response.Header)
	x.outcome = outcomeAnswered
	if h.headers.NotExecuted && h.headers.RequestID == id && (!h.headers.Sealed || h.response.StatusCode >= http.StatusBadRequest) {
		x.outcome = outcomeNotExecuted
		x.reason = "status " + strconv.Itoa(h.response.StatusCode)
	}
	return x
}

// reasonLocal is the reason of an attempt that failed for a lack of this instance, which says nothing about the backend server.
const reasonLocal = "local"

// isLocal reports whether a connection failed for a lack of this instance: of descriptors, ports or memory.
func isLocal(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// readFailureReason returns the reason word for a response that could not be read.
func readFailureReason(ctx context.Context, err error) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return "left"
	}
	var timeout interface{ Timeout() bool }
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return "timeout"
	}
	return "broken"
}

// close resets the connection of an exchange that can't be completed.
func (x *exchange) close() {
	x.detach()
	x.conn.reset()
}

// releaseConn returns the connection to the pool if the response was read to its end (clean), and resets it otherwise.
func (e *Entry) releaseConn(c *call, s *routing.Server, x *exchange, clean bool) {
	if !clean || !x.reusable {
		x.close()
		return
	}
	x.detach()
	e.conns.put(s.ID, x.conn, x.idleTimeout, e.maxIdleConns(s, c.service))
}

// maxIdleConns returns the number of idle connections to keep to s. Those of all entries use at most half of the connections
// that it accepts.
func (e *Entry) maxIdleConns(s *routing.Server, service routing.Service) int {
	if service.MaxConnections == 0 {
		return maxIdlePerServer
	}
	idle := balance.ServerRate{Requests: service.MaxConnections / 2}
	return min(maxIdlePerServer, idle.Part(xxhash.Sum64String(s.ID), e.peers.Entries()))
}

// keepAliveTimeout returns the timeout in ms of the Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) clock.Span {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			seconds, err := strconv.Atoi(text)
			if err == nil && seconds > 0 {
				return clock.Span(seconds) * clock.Second
			}
		}
	}
	return 0
}

// drainBody reads up to maxResponseBody bytes of the response and closes its body.
func drainBody(response *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBody))
	return errors.CombineErrors(err, response.Body.Close())
}

// withDeadline returns a context that ends at the deadline on clock c.
func withDeadline(ctx context.Context, c clock.Clock, deadline clock.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline.Sub(c.Now()).Duration())
}
