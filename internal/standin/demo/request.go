package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// Request is one line of requests.jsonl.
type Request struct {
	Service    string          `json:"service"`
	Team       string          `json:"team"`
	Priority   int             `json:"priority"` // higher first
	Deadline   clock.Span      `json:"deadline"` // ms
	Idempotent bool            `json:"idempotent"`
	Path       string          `json:"path"` // path after the service name, with a leading slash
	Body       json.RawMessage `json:"body"` // empty for a GET
}

func readRequests(file string) (requests []Request, err error) {
	defer func() { err = errors.Wrapf(err, "read requests of %s", file) }()
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewReader(bytes.NewReader(content))
	decoder := json.NewDecoder(lines)
	decoder.DisallowUnknownFields()
	for {
		var request Request
		err := decoder.Decode(&request)
		if errors.Is(err, io.EOF) {
			return requests, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "request %d", len(requests)+1)
		}
		requests = append(requests, request)
	}
}

func (r Request) call(id string) standin.Call {
	call := standin.Call{
		ID:           id,
		Method:       http.MethodPost,
		Path:         r.Path,
		Body:         r.Body,
		Priority:     r.Priority,
		Deadline:     r.Deadline,
		Idempotent:   r.Idempotent,
		ResendNotRun: true,
	}
	if len(r.Body) == 0 {
		call.Method = http.MethodGet
	}
	return call
}

// expected returns the complete response that a stand-in backend server gives to this request; that of a model service
// depends only on the prompt and the number of tokens.
func (r Request) expected(id string, model bool) (text string, err error) {
	if !model {
		response := standin.PlainResponse{ID: id, Result: standin.PlainResult(r.Path, r.Body)}
		content, err := json.Marshal(response)
		return string(content), errors.Wrap(err, "encode expected response")
	}
	prompt, err := standin.ParsePrompt(r.Body)
	if err != nil {
		return "", err
	}
	return standin.NewTextGenerator(prompt.Prompt).FullText(prompt.Tokens), nil
}
