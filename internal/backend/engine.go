package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

func init() {
	Protocols.Register("engine", NewEngine)
}

// NewEngine returns the protocol of model engines, which answer with server-sent events.
func NewEngine(url string) (protocol Protocol, err error) {
	t, err := newTransport(url)
	if err != nil {
		return Protocol{}, err
	}
	return Protocol{Run: t.generate, Cancel: t.cancel, Epoch: t.monitor.current, Load: t.load}, nil
}

// tokenEvent is one event of an engine's stream.
type tokenEvent struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Text  string `json:"text"`
}

// endEvent is the last event of an engine's stream.
type endEvent struct {
	ID    string `json:"id"`
	Count uint64 `json:"count"`
	Hash  string `json:"hash"`
}

func (t transport) generate(ctx context.Context, task Task, emit func(Event) error) (summary Summary, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/generate")
	request.Header.SetContentType("application/json")
	request.Header.Set(headerID, task.ID)
	request.Header.Set("Priority", strconv.Itoa(int(task.Priority)))
	request.Header.Set("Resume", strconv.FormatUint(task.Resume, 10))
	request.SetBodyRaw(task.Body)
	err = t.exchangeIfEpoch(ctx, task.Epoch, request, func(response *fasthttp.Response) error {
		if response.StatusCode() != fasthttp.StatusOK {
			summary, err = errorAnswer(response, task, emit)
			return err
		}
		s := eventReader{task: task, emit: emit, next: task.Resume}
		summary, err = s.read(response.BodyStream())
		return err
	})
	return summary, err
}

// errorAnswer forwards an answer with a status below 500 as one event; a server error counts as a truncated answer.
func errorAnswer(response *fasthttp.Response, task Task, emit func(Event) error) (summary Summary, err error) {
	content, err := readBody(response, task.MaxBytes)
	if err != nil {
		return Summary{}, err
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		return Summary{}, errors.Wrapf(ErrTruncated, "status %d", response.StatusCode())
	}
	summary = Summary{
		Count:     1,
		Hash:      xxhash.Sum64(content),
		Status:    response.StatusCode(),
		MediaType: string(response.Header.ContentType()),
	}
	return summary, emit(Event{Data: content})
}

// eventReader reads the events of one answer and checks their request identifier and order.
type eventReader struct {
	task      Task
	emit      func(Event) error
	next      uint64 // index of the next event to emit
	eventName string // value of the last "event:" line
}

func (s *eventReader) read(r io.Reader) (summary Summary, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), s.task.MaxBytes)
	for scanner.Scan() {
		last, err := s.readLine(scanner.Bytes())
		if err != nil {
			return Summary{}, err
		}
		if last != nil {
			return *last, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return Summary{}, errors.Wrapf(ErrTruncated, "read event: %v", err)
	}
	return Summary{}, errors.Wrap(ErrTruncated, "no end event")
}

func (s *eventReader) readLine(line []byte) (summary *Summary, err error) {
	if value, ok := bytes.CutPrefix(line, []byte("event:")); ok {
		s.eventName = string(bytes.TrimSpace(value))
		return nil, nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, nil
	}
	if s.eventName == "end" {
		return s.readEnd(data)
	}
	return nil, s.readToken(data)
}

func (s *eventReader) readToken(data []byte) error {
	var event tokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Wrapf(ErrTruncated, "decode event: %v", err)
	}
	if event.ID != s.task.ID {
		return errors.Wrapf(ErrMismatch, "event of %q", event.ID)
	}
	if event.Index < s.next {
		return nil
	}
	if event.Index > s.next {
		return errors.Wrapf(ErrTruncated, "event %d in place of %d", event.Index, s.next)
	}
	s.next++
	return s.emit(Event{Index: event.Index, Data: []byte(event.Text)})
}

func (s *eventReader) readEnd(data []byte) (summary *Summary, err error) {
	var event endEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, errors.Wrapf(ErrTruncated, "decode end event: %v", err)
	}
	if event.ID != s.task.ID {
		return nil, errors.Wrapf(ErrMismatch, "end event of %q", event.ID)
	}
	if event.Count != s.next {
		return nil, errors.Wrapf(ErrTruncated, "end after %d events of %d", s.next, event.Count)
	}
	hash, err := strconv.ParseUint(event.Hash, 16, 64)
	if err != nil {
		return nil, errors.Wrapf(ErrTruncated, "decode hash: %v", err)
	}
	return &Summary{Count: event.Count, Hash: hash, Status: fasthttp.StatusOK, MediaType: "text/event-stream"}, nil
}

// cancelRequest is the body of a cancel call.
type cancelRequest struct {
	ID string `json:"id"`
}

// cancel cancels a request at the engine.
func (t transport) cancel(ctx context.Context, id string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "cancel")
		}
	}()
	ctx, stop := context.WithTimeout(ctx, reportTimeout.Duration())
	defer stop()
	content, err := json.Marshal(cancelRequest{ID: id})
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/cancel")
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(content)
	return t.exchange(ctx, request, func(response *fasthttp.Response) error {
		_, err := readBody(response, maxReportBytes)
		return err
	})
}
