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

	"carawaypick/pkg/clock"
)

const (
	dialTimeout  = 500 * clock.Millisecond
	bufferBytes  = 16 << 10
	headerBytes  = 8 << 10
	reportBytes  = 64 << 10
	reportPeriod = 400 * clock.Millisecond // longest wait for a report
)

// transport opens one connection for each exchange, so that no stale connection is
// ever reused and a failed dial proves that nothing was handed over.
type transport struct {
	address  string
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	sentinel *sentinel
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
	return transport{address: u.Host, dial: dialer.DialContext, sentinel: &sentinel{}}, nil
}

// exchange writes the request once and passes the response to read, which must consume its body.
// The connection is closed when ctx ends.
func (t transport) exchange(ctx context.Context, request *fasthttp.Request, read func(*fasthttp.Response) error) (err error) {
	return t.guarded(ctx, request, func() bool { return true }, read)
}

// handOver is an exchange that writes nothing where the backend server has restarted since the epoch:
// a connection that stood before the look dies with the process that the sentinel vouches for.
func (t transport) handOver(ctx context.Context, epoch uint64, request *fasthttp.Request, read func(*fasthttp.Response) error) (err error) {
	return t.guarded(ctx, request, func() bool { return t.sentinel.now() == epoch }, read)
}

func (t transport) guarded(ctx context.Context, request *fasthttp.Request, same func() bool, read func(*fasthttp.Response) error) (err error) {
	conn, err := t.dial(ctx, "tcp", t.address)
	if err != nil {
		return errors.Wrapf(ErrNever, "dial: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if !same() {
		return ErrRestarted
	}
	request.Header.SetConnectionClose()
	request.SetHost(t.address)
	if err := write(conn, request); err != nil {
		return errors.Wrapf(ErrCut, "write: %v", err)
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer readers.Put(reader)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response) // before its reader goes back
	response.StreamBody = true
	if err := response.ReadLimitBody(reader, 0); err != nil {
		return errors.Wrapf(ErrCut, "read header: %v", err)
	}
	return read(response)
}

// readers and writers keep the buffers of exchanges that are over.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// write hands the request over in one write where its headers have at most headerBytes.
func write(conn net.Conn, request *fasthttp.Request) error {
	if size := len(request.Body()) + headerBytes; size > bufferBytes {
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

// body reads the whole body of at most limit bytes.
func body(response *fasthttp.Response, limit int) (content []byte, err error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	content, err = io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrapf(ErrCut, "read body: %v", err)
	}
	if len(content) > limit {
		return nil, errors.Wrapf(ErrCut, "body is over %d bytes", limit)
	}
	if want := response.Header.ContentLength(); want >= 0 && want != len(content) {
		return nil, errors.Wrapf(ErrCut, "body has %d bytes of %d", len(content), want)
	}
	return content, nil
}
