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
	Dialects.Register("engine", NewEngine)
}

// NewEngine returns the dialect of model engines: answers are server-sent events.
func NewEngine(url string) (dialect Dialect, err error) {
	t, err := newTransport(url)
	if err != nil {
		return Dialect{}, err
	}
	return Dialect{Run: t.generate, Cancel: t.cancel, Epoch: t.sentinel.now, Load: t.load}, nil
}

// token is one event of an engine's stream.
type token struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Text  string `json:"text"`
}

// ending is the last event of an engine's stream.
type ending struct {
	ID    string `json:"id"`
	Count uint64 `json:"count"`
	Hash  string `json:"hash"`
}

func (t transport) generate(ctx context.Context, task Task, emit func(Piece) error) (end End, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/generate")
	request.Header.SetContentType("application/json")
	request.Header.Set(headerID, task.ID)
	request.Header.Set("Priority", strconv.Itoa(int(task.Priority)))
	request.Header.Set("Resume", strconv.FormatUint(task.Resume, 10))
	request.SetBodyRaw(task.Body)
	err = t.handOver(ctx, task.Epoch, request, func(response *fasthttp.Response) error {
		if response.StatusCode() != fasthttp.StatusOK {
			end, err = refused(response, task, emit)
			return err
		}
		s := stream{task: task, emit: emit, next: task.Resume}
		end, err = s.read(response.BodyStream())
		return err
	})
	return end, err
}

// refused passes an engine's error answer on as an answer of one event.
func refused(response *fasthttp.Response, task Task, emit func(Piece) error) (end End, err error) {
	content, err := body(response, task.Limit)
	if err != nil {
		return End{}, err
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		return End{}, errors.Wrapf(ErrCut, "status %d", response.StatusCode())
	}
	end = End{
		Count:   1,
		Hash:    xxhash.Sum64(content),
		Status:  response.StatusCode(),
		Content: string(response.Header.ContentType()),
	}
	return end, emit(Piece{Data: content})
}

// stream reads the events of one answer and checks that they are its own and in order.
type stream struct {
	task Task
	emit func(Piece) error
	next uint64
	kind string
}

func (s *stream) read(r io.Reader) (end End, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), s.task.Limit)
	for scanner.Scan() {
		last, err := s.line(scanner.Bytes())
		if err != nil {
			return End{}, err
		}
		if last != nil {
			return *last, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return End{}, errors.Wrapf(ErrCut, "read event: %v", err)
	}
	return End{}, errors.Wrap(ErrCut, "no end event")
}

func (s *stream) line(line []byte) (end *End, err error) {
	if value, ok := bytes.CutPrefix(line, []byte("event:")); ok {
		s.kind = string(bytes.TrimSpace(value))
		return nil, nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, nil
	}
	if s.kind == "end" {
		return s.ending(data)
	}
	return nil, s.token(data)
}

func (s *stream) token(data []byte) error {
	var event token
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Wrapf(ErrCut, "decode event: %v", err)
	}
	if event.ID != s.task.ID {
		return errors.Wrapf(ErrForeign, "event of %q", event.ID)
	}
	if event.Index < s.next {
		return nil
	}
	if event.Index > s.next {
		return errors.Wrapf(ErrCut, "event %d in place of %d", event.Index, s.next)
	}
	s.next++
	return s.emit(Piece{Index: event.Index, Data: []byte(event.Text)})
}

func (s *stream) ending(data []byte) (end *End, err error) {
	var event ending
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, errors.Wrapf(ErrCut, "decode end event: %v", err)
	}
	if event.ID != s.task.ID {
		return nil, errors.Wrapf(ErrForeign, "end event of %q", event.ID)
	}
	if event.Count != s.next {
		return nil, errors.Wrapf(ErrCut, "end after %d events of %d", s.next, event.Count)
	}
	hash, err := strconv.ParseUint(event.Hash, 16, 64)
	if err != nil {
		return nil, errors.Wrapf(ErrCut, "decode hash: %v", err)
	}
	return &End{Count: event.Count, Hash: hash, Status: fasthttp.StatusOK, Content: "text/event-stream"}, nil
}

// cancellation is the body of a cancel call.
type cancellation struct {
	ID string `json:"id"`
}

// cancel ends a request at the engine.
func (t transport) cancel(ctx context.Context, id string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "cancel")
		}
	}()
	ctx, stop := context.WithTimeout(ctx, reportPeriod.Duration())
	defer stop()
	content, err := json.Marshal(cancellation{ID: id})
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
		_, err := body(response, reportBytes)
		return err
	})
}
