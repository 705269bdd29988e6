package latency

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Bodies of the measured requests.
const (
	plainBody = `{"slug":"fe-de-erratas","line":"El monto aprobado fue de 41 millones."}`
	modelBody = `{"prompt":"Cita: el puente costo 41 millones. Verificar con actas del concejo.","tokens":16}`
)

// target is one way to a service.
type target struct {
	url   string
	entry bool // the way leads through an entry
	final string
}

// headers returns what a request carries besides its body.
func (t target) headers(id string) [][2]string {
	all := [][2]string{{"Request-Id", id}}
	if t.entry {
		all = append(all, [2]string{"Team", teamName}, [2]string{"Idempotent", "true"}, [2]string{"Deadline", "10000"})
	}
	return all
}

// plain returns a sender of plain calls that checks that each answer is its own.
func (t target) plain(name string) request {
	client := &fasthttp.Client{MaxConnsPerHost: manyRequests}
	return func(worker, turn int, _ func()) error {
		id := fmt.Sprintf("%s-%d-%d", name, worker, turn)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI(t.url)
		for _, h := range t.headers(id) {
			request.Header.Set(h[0], h[1])
		}
		request.SetBodyString(plainBody)
		if err := client.Do(request, response); err != nil {
			return err
		}
		if response.StatusCode() != fasthttp.StatusOK {
			return errors.Newf("status %d: %s", response.StatusCode(), response.Body())
		}
		if !bytes.Contains(response.Body(), []byte(`"`+id+`"`)) {
			return errors.Newf("answer to another request: %s", response.Body())
		}
		return nil
	}
}

// stream returns a sender of streamed calls that marks the first event and checks that the stream is whole.
func (t target) stream(name string) request {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: manyRequests}}
	return func(worker, turn int, mark func()) error {
		id := fmt.Sprintf("%s-%d-%d", name, worker, turn)
		request, err := http.NewRequest(http.MethodPost, t.url, strings.NewReader(modelBody))
		if err != nil {
			return err
		}
		for _, h := range t.headers(id) {
			request.Header.Set(h[0], h[1])
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		return t.whole(response.Body, mark)
	}
}

// whole reads a stream to its final event.
func (t target) whole(body io.Reader, mark func()) error {
	lines := bufio.NewScanner(body)
	begun := false
	for lines.Scan() {
		switch {
		case lines.Text() == "event: "+t.final:
			_, err := io.Copy(io.Discard, body)
			return err
		case !begun && strings.HasPrefix(lines.Text(), "data: "):
			begun = true
			mark()
		}
	}
	return errors.CombineErrors(errors.New("stream without its final event"), lines.Err())
}
