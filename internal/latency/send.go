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

// target is a URL of a service, direct or through an entry.
type target struct {
	url        string
	viaEntry   bool   // url leads through an entry
	finalEvent string // type of the event that completes a stream
}

// headers returns the headers of a request as pairs of name and value.
func (t target) headers(id string) [][2]string {
	all := [][2]string{{"Request-Id", id}}
	if t.viaEntry {
		all = append(all, [2]string{"Team", teamName}, [2]string{"Idempotent", "true"}, [2]string{"Deadline", "10000"})
	}
	return all
}

// plainSender returns a function that sends plain calls, with request ids that start with name, and checks that each response
// belongs to its request.
func (t target) plainSender(name string) sendFunc {
	client := &fasthttp.Client{MaxConnsPerHost: maxRequests}
	return func(worker, sequence int, _ func()) error {
		id := fmt.Sprintf("%s-%d-%d", name, worker, sequence)
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
			return errors.Newf("response to another request: %s", response.Body())
		}
		return nil
	}
}

// streamSender returns a function that sends streamed calls, marks the first event and checks that the stream is complete.
func (t target) streamSender(name string) sendFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRequests}}
	return func(worker, sequence int, mark func()) error {
		id := fmt.Sprintf("%s-%d-%d", name, worker, sequence)
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
		return t.readStream(response.Body, mark)
	}
}

// readStream reads a stream up to its final event and returns an error if it ends before.
func (t target) readStream(body io.Reader, mark func()) error {
	lines := bufio.NewScanner(body)
	started := false
	for lines.Scan() {
		switch {
		case lines.Text() == "event: "+t.finalEvent:
			_, err := io.Copy(io.Discard, body)
			return err
		case !started && strings.HasPrefix(lines.Text(), "data: "):
			started = true
			mark()
		}
	}
	return errors.CombineErrors(errors.New("stream ended without its final event"), lines.Err())
}
