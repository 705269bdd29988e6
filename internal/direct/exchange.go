package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// fate says what is known of a request that was sent to a backend server.
type fate int

const (
	fateAnswered fate = iota // the backend server answered
	fateNotRun               // it provably did not run and never will
	fateUnknown              // it may have run
)

// exchange is one request at one backend server.
type exchange struct {
	fate     fate
	err      error // why there is no answer
	reason   string
	response *http.Response
	answer   Answer
	conn     *serverConn
	keep     bool       // the connection may carry another request
	idle     clock.Span // the owner's timeout of idle connections
	release  func()     // stops watching for the caller to leave
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns a copy of h without what concerns one connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// outgoing builds the request that goes to a backend server.
func outgoing(in *http.Request, body []byte) *http.Request {
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Opaque: in.RequestURI},
		Host:          in.Host,
		Header:        endToEnd(in.Header),
		ContentLength: int64(len(body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	out.Header.Del("Content-Length")
	if _, sent := out.Header["User-Agent"]; !sent {
		out.Header["User-Agent"] = []string{""} // keeps the library from naming itself
	}
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	return out
}

// send writes the request to the backend server and reads the head of the answer; ctx ends with the caller.
func (e *Entry) send(ctx context.Context, s *routing.Server, request *http.Request, id string, once bool) (x exchange) {
	conn, err := e.conns.get(ctx, s.ID, s.Address, once)
	if err != nil {
		return exchange{fate: fateNotRun, err: err, reason: "dial"}
	}
	stop := context.AfterFunc(ctx, conn.abandon)
	x = exchange{fate: fateUnknown, conn: conn, release: func() { stop() }}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			x.fate, x.err, x.reason = fateNotRun, err, "closed"
			x.close()
			return x
		}
	}
	out := bufio.NewWriterSize(conn, connBuffer)
	if x.err = request.Write(out); x.err == nil {
		x.err = out.Flush()
	}
	if x.err != nil {
		x.reason = "write"
		x.close()
		return x
	}
	h, err := conn.readHead(request, id, e.wire.Answer)
	if err != nil {
		x.err, x.reason = err, readReason(ctx, err)
		x.close()
		return x
	}
	x.response, x.answer = h.response, h.answer
	x.keep = h.crossed == 0 && !h.response.Close && h.response.ProtoAtLeast(1, 1)
	x.idle = keepAlive(h.response.Header)
	x.fate = fateAnswered
	if h.answer.NotRun && (!h.answer.Sealed || h.response.StatusCode >= http.StatusBadRequest) {
		x.fate = fateNotRun
		x.reason = "status " + strconv.Itoa(h.response.StatusCode)
	}
	return x
}

// readReason names why an answer could not be read.
func readReason(ctx context.Context, err error) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return "left"
	}
	var timeout interface{ Timeout() bool }
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return "timeout"
	}
	return "broken"
}

// close gives the connection up.
func (x *exchange) close() {
	x.release()
	x.conn.abandon()
}

// done keeps the connection for the next request where the answer has ended cleanly, or else gives it up.
func (e *Entry) done(c *call, s *routing.Server, x *exchange, clean bool) {
	if !clean || !x.keep {
		x.close()
		return
	}
	x.release()
	e.conns.put(s.ID, x.conn, x.idle, e.kept(c.service))
}

// kept returns the idle connections that are kept to a backend server, so that those of all entries leave half of what
// it accepts to requests that run.
func (e *Entry) kept(service routing.Service) int {
	if service.Connections == 0 {
		return keptEach
	}
	return max(min(keptEach, int(float64(service.Connections)*e.peers.Part()/2)), 1)
}

// keepAlive returns the timeout that the Keep-Alive header names, or 0.
func keepAlive(h http.Header) clock.Span {
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

// discard reads an answer to its end.
func discard(response *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
	return errors.CombineErrors(err, response.Body.Close())
}

// until returns a context that ends at the moment, measured by c.
func until(ctx context.Context, c clock.Clock, moment clock.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, moment.Sub(c.Now()).Duration())
}
