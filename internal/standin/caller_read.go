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

// answerReader reads one answer and checks that it is whole and the caller's own.
type answerReader struct {
	answer *Answer
	clock  clock.Clock
	start  clock.Time
	text   strings.Builder
}

type finalEvent struct {
	ID      string     `json:"id"`
	Attempt int        `json:"attempt"`
	Count   int        `json:"count"`
	Hash    string     `json:"hash"`
	Outcome Outcome    `json:"outcome"`
	Reason  string     `json:"reason"`
	After   clock.Span `json:"after"`
	Events  int        `json:"events"`
}

func (r *answerReader) read(response *http.Response) {
	r.answer.Status = response.StatusCode
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case stream && response.StatusCode == http.StatusOK:
		r.readStream(response.Body)
	case response.StatusCode == http.StatusOK:
		r.readPlain(response)
	default:
		r.readRefusal(response)
	}
	r.answer.Text = r.text.String()
}

func (r *answerReader) readPlain(response *http.Response) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.answer.Reason = err.Error()
		return
	}
	r.text.Write(content)
	r.answer.First = r.clock.Now().Sub(r.start)
	r.answer.Attempt, _ = strconv.Atoi(response.Header.Get("Attempt"))
	if id := response.Header.Get("Request-Id"); id != r.answer.ID {
		r.broken("answer to %q instead of %q", id, r.answer.ID)
		return
	}
	var body PlainAnswer
	if json.Unmarshal(content, &body) == nil && body.ID != r.answer.ID {
		r.broken("body of %q instead of %q", body.ID, r.answer.ID)
		return
	}
	r.answer.Outcome = Whole
}

func (r *answerReader) readRefusal(response *http.Response) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.answer.Reason = err.Error()
		return
	}
	var refusal finalEvent
	if err := json.Unmarshal(content, &refusal); err != nil {
		r.broken("status %d with body %.100q", response.StatusCode, content)
		return
	}
	r.refuse(refusal)
	want, known := map[Outcome]int{
		NotRun:  http.StatusServiceUnavailable,
		Unknown: http.StatusBadGateway,
		Failed:  http.StatusInternalServerError,
		Bad:     http.StatusBadRequest,
	}[r.answer.Outcome]
	if response.StatusCode == http.StatusBadRequest {
		r.answer.Outcome = Bad
		return
	}
	if r.answer.Outcome != Broken && (!known || want != response.StatusCode) {
		r.broken("outcome %q with status %d", refusal.Outcome, response.StatusCode)
	}
}

func (r *answerReader) refuse(e finalEvent) {
	if e.ID != r.answer.ID {
		r.broken("refusal of %q instead of %q", e.ID, r.answer.ID)
		return
	}
	r.answer.Outcome = e.Outcome
	r.answer.Reason = e.Reason
	r.answer.After = e.After
	r.answer.Attempt = e.Attempt
}

func (r *answerReader) broken(format string, arguments ...any) {
	r.answer.Outcome = Broken
	r.answer.Reason = fmt.Sprintf(format, arguments...)
}

// sseEvent is one event of a stream of server-sent events.
type sseEvent struct {
	id   string
	name string
	data string
}

func (r *answerReader) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, bodyLimit)
	var event sseEvent
	for lines.Scan() {
		if !event.add(lines.Text()) {
			continue
		}
		if !r.take(event) {
			return
		}
		event = sseEvent{}
	}
	if err := lines.Err(); err != nil {
		r.answer.Reason = err.Error() // cut: the caller may send again
		return
	}
	r.broken("stream ended after %d events without a final event", r.answer.Events)
}

// add takes one line and returns true where it ends the event.
func (e *sseEvent) add(line string) bool {
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

// take checks one event and returns false where the stream has ended.
func (r *answerReader) take(e sseEvent) bool {
	switch e.name {
	case "final":
		r.final(e)
		return false
	case "error":
		r.failure(e)
		return false
	}
	if r.answer.Events == 0 {
		r.answer.First = r.clock.Now().Sub(r.start)
	}
	return r.token(e)
}

func (r *answerReader) token(e sseEvent) bool {
	var token TokenEvent
	if err := json.Unmarshal([]byte(e.data), &token); err != nil {
		r.broken("event %d: %v", r.answer.Events, err)
		return false
	}
	due := r.answer.Events
	if e.id != strconv.Itoa(due) || token.Index != due {
		r.broken("event %q with index %d where %d was due", e.id, token.Index, due)
		return false
	}
	if token.ID != r.answer.ID {
		r.broken("event %d of %q instead of %q", due, token.ID, r.answer.ID)
		return false
	}
	r.text.WriteString(token.Text)
	r.answer.Events++
	return true
}

func (r *answerReader) final(e sseEvent) {
	var final finalEvent
	if err := json.Unmarshal([]byte(e.data), &final); err != nil {
		r.broken("final event: %v", err)
		return
	}
	hash := fmt.Sprintf("%016x", xxhash.Sum64String(r.text.String()))
	r.answer.Attempt = final.Attempt
	switch {
	case final.ID != r.answer.ID:
		r.broken("final event of %q instead of %q", final.ID, r.answer.ID)
	case final.Count != r.answer.Events:
		r.broken("final event counts %d events, %d came", final.Count, r.answer.Events)
	case final.Hash != hash:
		r.broken("final event has hash %s, the text has %s", final.Hash, hash)
	default:
		r.answer.Outcome = Whole
	}
}

func (r *answerReader) failure(e sseEvent) {
	var failure finalEvent
	if err := json.Unmarshal([]byte(e.data), &failure); err != nil {
		r.broken("error event: %v", err)
		return
	}
	r.refuse(failure)
	if r.answer.Outcome != Broken && failure.Events != r.answer.Events {
		r.broken("error event counts %d events, %d came", failure.Events, r.answer.Events)
	}
}
