package backend

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headerID is the header with the request's identifier, in requests and answers.
const headerID = "Request-Id"

func init() {
	Protocols.Register("plain", NewPlain)
}

// NewPlain returns the protocol of plain services: any method and path, with the body of the answer as one event.
func NewPlain(url string) (protocol Protocol, err error) {
	t, err := newTransport(url)
	if err != nil {
		return Protocol{}, err
	}
	return Protocol{Run: t.callPlain, Epoch: t.monitor.current, Load: t.load}, nil
}

func (t transport) callPlain(ctx context.Context, task Task, emit func(Event) error) (summary Summary, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(task.Method)
	request.SetRequestURI(task.Path)
	request.Header.Set(headerID, task.ID)
	request.SetBodyRaw(task.Body)
	err = t.exchangeIfEpoch(ctx, task.Epoch, request, func(response *fasthttp.Response) error {
		content, err := readBody(response, task.MaxBytes)
		if err != nil {
			return err
		}
		if got := string(response.Header.Peek(headerID)); got != task.ID {
			return errors.Wrapf(ErrMismatch, "answer to %q", got)
		}
		summary = Summary{
			Count:     1,
			Hash:      xxhash.Sum64(content),
			Status:    response.StatusCode(),
			MediaType: string(response.Header.ContentType()),
		}
		if task.Resume > 0 {
			return nil
		}
		return emit(Event{Data: content})
	})
	return summary, err
}
