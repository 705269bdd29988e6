package backend

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// load reads the report at /load. Status 404 counts as an empty report, whose incarnation never changes.
func (t transport) load(ctx context.Context) (load LoadReport, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read load report")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	epoch, err := t.monitor.ensureOpen(ctx, func(ctx context.Context) (net.Conn, error) { return t.dial(ctx, "tcp", t.address) })
	if err != nil {
		return LoadReport{}, err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("/load")
	err = t.exchange(ctx, request, func(response *fasthttp.Response) error {
		content, err := readBody(response, maxReportBytes)
		if err != nil {
			return err
		}
		if response.StatusCode() == fasthttp.StatusNotFound {
			return nil
		}
		if response.StatusCode() != fasthttp.StatusOK {
			return errors.Newf("status %d", response.StatusCode())
		}
		return json.Unmarshal(content, &load)
	})
	load.Epoch = epoch
	return load, err
}
