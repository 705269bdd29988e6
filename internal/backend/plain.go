package backend

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headerID is the header that names the request on both ways.
const headerID = "Request-Id"

func init() {
	Dialects.Register("plain", NewPlain)
}

// NewPlain returns the dialect of plain services: any method and path, the whole answer as one event.
func NewPlain(url string) (dialect Dialect, err error) {
	t, err := newTransport(url)
	if err != nil {
		return Dialect{}, err
	}
	return Dialect{Run: t.plain, Epoch: t.sentinel.now, Load: t.load}, nil
}

func (t transport) plain(ctx context.Context, task Task, emit func(Piece) error) (end End, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(task.Method)
	request.SetRequestURI(task.Path)
	request.Header.Set(headerID, task.ID)
	request.SetBodyRaw(task.Body)
	err = t.handOver(ctx, task.Epoch, request, func(response *fasthttp.Response) error {
		content, err := body(response, task.Limit)
		if err != nil {
			return err
		}
		if got := string(response.Header.Peek(headerID)); got != task.ID {
			return errors.Wrapf(ErrForeign, "answer to %q", got)
		}
		end = End{
			Count:   1,
			Hash:    xxhash.Sum64(content),
			Status:  response.StatusCode(),
			Content: string(response.Header.ContentType()),
		}
		if task.Resume > 0 {
			return nil
		}
		return emit(Piece{Data: content})
	})
	return end, err
}
