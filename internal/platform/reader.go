package platform

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/http1"
	"carawaypick/pkg/clock"
)

const (
	// callTimeout is the time-out in ms of a request, in addition to the wait that a request for tickets asks for.
	callTimeout = 5 * clock.Second
	userAgent   = "carawaypick"
)

// Reader reads from the platform; its methods are function fields so that clients of other protocols can replace them.
type Reader struct {
	// Tickets returns the contents of the tickets with numbers above after; if there are none, it waits up to wait ms for one.
	Tickets func(ctx context.Context, after uint64, wait clock.Span) ([][]byte, error)
	// Snapshot returns the content of the snapshot, or nil if the platform has none.
	Snapshot func(ctx context.Context) ([]byte, error)
	// Instances returns the list and an error for each invalid instance, which the list omits; the list has version 0 if the
	// platform has none newer than the given version.
	Instances func(ctx context.Context, version uint64) (List, []error, error)
	// Calls counts the HTTP requests made.
	Calls *atomic.Uint64
}

// StatusError is a response with an HTTP status other than 200.
type StatusError struct {
	Code int
}

// Error returns the status code as text.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Code)
}

// NewReader returns a Reader for the base URLs of the configuration service and the instance list.
func NewReader(tickets, list string) *Reader {
	c := &client{}
	tickets, list = strings.TrimSuffix(tickets, "/"), strings.TrimSuffix(list, "/")
	return &Reader{
		Tickets: func(ctx context.Context, after uint64, wait clock.Span) ([][]byte, error) {
			return c.tickets(ctx, tickets, after, wait)
		},
		Snapshot: func(ctx context.Context) ([]byte, error) {
			return c.snapshot(ctx, tickets)
		},
		Instances: func(ctx context.Context, version uint64) (List, []error, error) {
			return c.instances(ctx, list, version)
		},
		Calls: &c.calls,
	}
}

type client struct {
	calls atomic.Uint64
}

func (c *client) tickets(ctx context.Context, base string, after uint64, wait clock.Span) (tickets [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "read tickets") }()
	url := base + "/tickets?after=" + strconv.FormatUint(after, 10)
	if wait > 0 {
		url += "&wait=" + strconv.FormatInt(int64(wait), 10)
	}
	content, err := c.get(ctx, url, wait+callTimeout)
	if err != nil {
		return nil, err
	}
	return DecodeTickets(content)
}

func (c *client) snapshot(ctx context.Context, base string) (snapshot []byte, err error) {
	defer func() { err = errors.Wrap(err, "read snapshot") }()
	content, err := c.get(ctx, base+"/snapshot", callTimeout)
	if isStatus(err, http.StatusNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(content)
}

func (c *client) instances(ctx context.Context, base string, version uint64) (l List, invalid []error, err error) {
	defer func() { err = errors.Wrap(err, "read instances") }()
	content, err := c.get(ctx, base+"/instances?after="+strconv.FormatUint(version, 10), callTimeout)
	if isStatus(err, http.StatusNotModified) {
		return List{}, nil, nil
	}
	if err != nil {
		return List{}, nil, err
	}
	return DecodeList(content)
}

func isStatus(err error, code int) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Code == code
}

// get sends a request on a new connection and returns the response body; the connection closes after the response or when
// ctx ends.
func (c *client) get(ctx context.Context, url string, timeout clock.Span) (body []byte, err error) {
	if err = ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	c.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI(url)
	request.SetConnectionClose()
	hostClient := &fasthttp.HostClient{
		Addr:                      string(request.URI().Host()),
		IsTLS:                     string(request.URI().Scheme()) == "https",
		Name:                      userAgent,
		MaxResponseBodySize:       MaxResponseBytes,
		MaxIdemponentCallAttempts: 1, // no retry, since the platform counts every request
		Dial:                      func(address string) (net.Conn, error) { return dial(ctx, address) },
	}
	if err = hostClient.DoTimeout(request, response, timeout.Duration()); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.WithStack(err)
	}
	if code := response.StatusCode(); code != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Code: code})
	}
	return response.Body(), nil
}

// dial opens a connection that is closed when ctx ends.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: callTimeout.Duration()}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return &http1.Conn{Conn: conn}, nil
}
