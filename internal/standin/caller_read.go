package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

// responseReader reads one HTTP response and checks that it is complete and belongs to the request.
type responseReader struct {
	result *CallResult
	clock  clock.Clock
	start  clock.Time
	text   strings.Builder
}

// finalEvent is the final or error event of a stream, or the body of a rejection.
type finalEvent struct {
	ID         string     `json:"id"`
	Attempt    int        `json:"attempt"`
	Count      int        `json:"count"` // number of events of the complete stream; only in a final event
	Hash       string     `json:"hash"`  // xxhash64 of the complete text; only in a final event
	Outcome    Outcome    `json:"outcome"`
	Reason     string     `json:"reason"`
	RetryAfter clock.Span `json:"after"`  // ms to wait before a resend
	Events     int        `json:"events"` // number of events before the error; only in an error event
}

func (r *responseReader) read(response *http.Response) {
	r.result.Status = response.StatusCode
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case stream && response.StatusCode == http.StatusOK:
		r.readStream(response.Body)
	case response.StatusCode == http.StatusOK:
		r.readPlain(response)
	default:
		r.readRejection(response)
	}
	r.result.Text = r.text.String()
}

func (r *responseReader) readPlain(response *http.Response) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.result.Reason = err.Error()
		return
	}
	r.text.Write(content)
	r.result.TimeToFirstEvent = r.clock.Now().Sub(r.start)
	r.result.Attempt, _ = strconv.Atoi(response.Header.Get("Attempt"))
	if id := response.Header.Get("Request-Id"); id != r.result.ID {
		r.protocolError("response to request %q instead of %q", id, r.result.ID)
		return
	}
	var body PlainResponse
	if json.Unmarshal(content, &body) == nil && body.ID != r.result.ID {
		r.protocolError("body for request %q instead of %q", body.ID, r.result.ID)
		return
	}
	r.result.Outcome = Complete
}

func (r *responseReader) readRejection(response *http.Response) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.result.Reason = err.Error()
		return
	}
	var rejection finalEvent
	if err := json.Unmarshal(content, &rejection); err != nil {
		r.protocolError("status %d with body %.100q", response.StatusCode, content)
		return
	}
	r.setRejection(rejection)
	want, known := map[Outcome]int{
		NotRun:     http.StatusServiceUnavailable,
		Unknown:    http.StatusBadGateway,
		Failed:     http.StatusInternalServerError,
		BadRequest: http.StatusBadRequest,
	}[r.result.Outcome]
	if response.StatusCode == http.StatusBadRequest {
		r.result.Outcome = BadRequest
		return
	}
	if r.result.Outcome != ProtocolError && (!known || want != response.StatusCode) {
		r.protocolError("outcome %q with status %d", rejection.Outcome, response.StatusCode)
	}
}

func (r *responseReader) setRejection(e finalEvent) {
	if e.ID != r.result.ID {
		r.protocolError("rejection of request %q instead of %q", e.ID, r.result.ID)
		return
	}
	r.result.Outcome = e.Outcome
	r.result.Reason = e.Reason
	r.result.RetryAfter = e.RetryAfter
	r.result.Attempt = e.Attempt
}

func (r *responseReader) protocolError(format string, arguments ...any) {
	r.result.Outcome = ProtocolError
	r.result.Reason = fmt.Sprintf(format, arguments...)
}

// sseEvent is one event of a stream of server-sent events.
type sseEvent struct {
	id   string
	name string
	data string
}

func (r *responseReader) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxBodyBytes)
	var event sseEvent
	for lines.Scan() {
		if !event.addLine(lines.Text()) {
			continue
		}
		if !r.handleEvent(event) {
			return
		}
		event = sseEvent{}
	}
	if err := lines.Err(); err != nil {
		r.result.Reason = err.Error() // connection lost: the caller may resend
		return
	}
	r.protocolError("stream ended after %d events without a final event", r.result.Events)
}

// addLine parses one line and returns true if it ends an event with data.
func (e *sseEvent) addLine(line string) bool {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "":
		return line == "" && e.data != ""
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		e.data += value
	}
	return false
}

// handleEvent checks one event and returns false if it ends the stream or violates the protocol.
func (r *responseReader) handleEvent(e sseEvent) bool {
	switch e.name {
	case "final":
		r.handleFinal(e)
		return false
	case "error":
		r.handleError(e)
		return false
	}
	if r.result.Events == 0 {
		r.result.TimeToFirstEvent = r.clock.Now().Sub(r.start)
	}
	return r.handleToken(e)
}

func (r *responseReader) handleToken(e sseEvent) bool {
	var token TokenEvent
	if err := json.Unmarshal([]byte(e.data), &token); err != nil {
		r.protocolError("event %d: %v", r.result.Events, err)
		return false
	}
	expected := r.result.Events
	if e.id != strconv.Itoa(expected) || token.Index != expected {
		r.protocolError("event %q with index %d instead of %d", e.id, token.Index, expected)
		return false
	}
	if token.ID != r.result.ID {
		r.protocolError("event %d for request %q instead of %q", expected, token.ID, r.result.ID)
		return false
	}
	r.text.WriteString(token.Text)
	r.result.Events++
	return true
}

func (r *responseReader) handleFinal(e sseEvent) {
	var final finalEvent
	if err := json.Unmarshal([]byte(e.data), &final); err != nil {
		r.protocolError("final event: %v", err)
		return
	}
	hash := fmt.Sprintf("%016x", xxhash.Sum64String(r.text.String()))
	r.result.Attempt = final.Attempt
	switch {
	case final.ID != r.result.ID:
		r.protocolError("final event for request %q instead of %q", final.ID, r.result.ID)
	case final.Count != r.result.Events:
		r.protocolError("final event counts %d events, received %d", final.Count, r.result.Events)
	case final.Hash != hash:
		r.protocolError("final event has hash %s, the received text has %s", final.Hash, hash)
	default:
		r.result.Outcome = Complete
	}
}

func (r *responseReader) handleError(e sseEvent) {
	var failure finalEvent
	if err := json.Unmarshal([]byte(e.data), &failure); err != nil {
		r.protocolError("error event: %v", err)
		return
	}
	r.setRejection(failure)
	if r.result.Outcome != ProtocolError && failure.Events != r.result.Events {
		r.protocolError("error event counts %d events, received %d", failure.Events, r.result.Events)
	}
}
