package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/http1"
	"carawaypick/pkg/clock"
)

const (
	dialTimeout    = 500 * clock.Millisecond
	bufferBytes    = 16 << 10
	maxHeaderBytes = 8 << 10
	maxReportBytes = 64 << 10
	reportTimeout  = 400 * clock.Millisecond // for a load report or a cancellation
)

// transport opens one connection for each exchange, so that no stale connection is
// reused and a failed dial proves that nothing was sent.
type transport struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	monitor *connMonitor
}

func newTransport(base string) (t transport, err error) {
	u, err := url.Parse(base)
	if err != nil {
		return transport{}, errors.Wrap(err, "parse URL of the backend server")
	}
	if u.Scheme != "http" || u.Host == "" {
		return transport{}, errors.Newf("URL of the backend server must be http://host:port, not %q", base)
	}
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	return transport{address: u.Host, dial: dialer.DialContext, monitor: &connMonitor{}}, nil
}

// exchange writes the request once and passes the response to read, which must consume the response's body.
// The connection is closed when ctx ends.
func (t transport) exchange(ctx context.Context, request *fasthttp.Request, read func(*fasthttp.Response) error) (err error) {
	return t.exchangeIf(ctx, request, func() bool { return true }, read)
}

// exchangeIfEpoch is an exchange that returns ErrRestarted and writes nothing if the epoch has changed. It connects
// before it checks the epoch, so that the connection ends together with the process that the epoch belongs to.
func (t transport) exchangeIfEpoch(ctx context.Context, epoch uint64, request *fasthttp.Request, read func(*fasthttp.Response) error) (err error) {
	return t.exchangeIf(ctx, request, func() bool { return t.monitor.current() == epoch }, read)
}

func (t transport) exchangeIf(ctx context.Context, request *fasthttp.Request, proceed func() bool, read func(*fasthttp.Response) error) (err error) {
	conn, err := t.dial(ctx, "tcp", t.address)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "dial: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if !proceed() {
		return ErrRestarted
	}
	request.Header.SetConnectionClose()
	request.SetHost(t.address)
	if err := writeRequest(conn, request); err != nil {
		return errors.Wrapf(ErrTruncated, "write: %v", err)
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(&http1.Conn{Conn: conn})
	defer readers.Put(reader)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response) // deferred last, so that the response is released before its reader returns to the pool
	response.StreamBody = true
	if err := response.ReadLimitBody(reader, 0); err != nil {
		return errors.Wrapf(ErrTruncated, "read header: %v", err)
	}
	return read(response)
}

// readers and writers pool the buffers of exchanges.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// writeRequest sends the request in one write if its headers have at most maxHeaderBytes.
func writeRequest(conn net.Conn, request *fasthttp.Request) error {
	if size := len(request.Body()) + maxHeaderBytes; size > bufferBytes {
		return writeBuffered(bufio.NewWriterSize(conn, size), request)
	}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(conn)
	return writeBuffered(w, request)
}

func writeBuffered(w *bufio.Writer, request *fasthttp.Request) error {
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readBody reads the complete body, or returns ErrTruncated if it is incomplete or over limit bytes.
func readBody(response *fasthttp.Response, limit int) (content []byte, err error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	content, err = io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrapf(ErrTruncated, "read body: %v", err)
	}
	if len(content) > limit {
		return nil, errors.Wrapf(ErrTruncated, "body is over %d bytes", limit)
	}
	if want := response.Header.ContentLength(); want >= 0 && want != len(content) {
		return nil, errors.Wrapf(ErrTruncated, "body has %d bytes of %d", len(content), want)
	}
	return content, nil
}
