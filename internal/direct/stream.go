package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// maxEvent is the most bytes of one event.
const maxEvent = 1 << 20

// event is one event of a stream, as it was sent.
type event struct {
	raw   []byte
	id    string
	known bool // it has an id
}

// readEvent reads one event up to its empty line; io.EOF means that the stream ended before it began.
func readEvent(r *bufio.Reader) (v event, err error) {
	for {
		line, err := r.ReadSlice('\n')
		v.raw = append(v.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(v.raw) < maxEvent {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(v.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return v, err
		}
		if len(v.raw) > maxEvent {
			return v, errors.Newf("event of more than %d bytes", maxEvent)
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return v, nil
		}
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			v.id, v.known = string(bytes.TrimSpace(id)), true
		}
	}
}

// follows tells whether the event with the id next may come after the one with the id last.
func follows(last, next string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	if errA != nil || errB != nil {
		return last != next // ids that are no numbers tell no more
	}
	return b == a+1
}

// flow is the stream that a caller is sent, over all attempts.
type flow struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
	last    string // id of the last event that was sent on
	events  int
	resumed int
	first   clock.Span // ms from the request to the first event
	pause   clock.Span // longest pause in ms between two events
}

// stream answers a request whose answer is a stream of events.
func (e *Entry) stream(ctx context.Context, w http.ResponseWriter, c *call) {
	f := &flow{writer: w, control: http.NewResponseController(w), last: c.LastEvent}
	for {
		s, no := e.next(c)
		if no != nil {
			e.breakOff(c, f, *no)
			return
		}
		x := e.attempt(ctx, c, s, f.last)
		if x.fate == fateAnswered {
			whole := e.flow(c, f, s, &x)
			if whole {
				return
			}
		} else {
			e.ended(c, s, &x)
		}
		if c.request.Context().Err() != nil {
			e.log(c, "left", "events", f.events)
			return
		}
		if e.again(c, x.fate) {
			f.resumed++
			e.metrics.Resumes.Get(x.reason).Inc()
			continue
		}
		if f.begun {
			e.breakOff(c, f, refusal{http.StatusBadGateway, "the stream broke", 0})
			return
		}
		e.giveUp(w, c, x)
		return
	}
}

// breakOff ends a request that can't go on; a stream that has begun must not look complete.
func (e *Entry) breakOff(c *call, f *flow, no refusal) {
	if !f.begun {
		e.refuse(f.writer, c, no)
		return
	}
	e.log(c, "broken", "reason", no.reason, "last", c.last, "events", f.events, "event", f.last)
	panic(http.ErrAbortHandler) // closes the connection without the end of the body
}

// flow passes the events of one attempt on; it tells whether the request has had its final answer.
func (e *Entry) flow(c *call, f *flow, s *routing.Server, x *exchange) (final bool) {
	if x.response.StatusCode != http.StatusOK {
		return e.noStream(c, f, s, x)
	}
	err := error(nil)
	if !x.answer.valid(c.ID, x.response.StatusCode) {
		err = errors.New("stream without proof")
	} else {
		err = e.copyEvents(c, f, x.response)
	}
	if err == nil {
		e.ended(c, s, x)
		if !f.begun {
			f.begin(x.response) // a stream without events is whole as well
		}
		e.log(c, "whole", "status", http.StatusOK, "events", f.events, "resumed", f.resumed, "first", f.first, "pause", f.pause)
		return true
	}
	x.fate, x.err, x.reason = fateUnknown, err, "cut"
	if c.request.Context().Err() != nil {
		x.reason = "left"
	}
	c.unproven, c.last = true, x.reason
	e.ended(c, s, x)
	return false
}

// noStream takes an answer that is no stream: the caller gets it where nothing else was sent on.
func (e *Entry) noStream(c *call, f *flow, s *routing.Server, x *exchange) (final bool) {
	content, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswer))
	if err != nil || !x.answer.valid(c.ID, x.response.StatusCode) || f.begun {
		x.fate, x.reason = fateUnknown, "status "+strconv.Itoa(x.response.StatusCode)
		x.err = err
		c.unproven, c.last = true, x.reason
	}
	e.ended(c, s, x)
	if x.fate != fateAnswered {
		return false
	}
	e.pass(f.writer, c, x.response, content)
	return true
}

func (f *flow) begin(response *http.Response) {
	copyHeader(f.writer.Header(), response.Header)
	f.writer.Header().Del("Content-Length")
	f.writer.WriteHeader(response.StatusCode)
	f.begun = true
}

// copyEvents passes whole events on until the stream ends; nil means that it ended as complete.
func (e *Entry) copyEvents(c *call, f *flow, response *http.Response) (err error) {
	reader := bufio.NewReaderSize(response.Body, connBuffer)
	last := clock.Time(0)
	for {
		v, err := readEvent(reader)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if v.known && !follows(f.last, v.id) {
			return errors.Newf("event %s after %s", v.id, f.last)
		}
		now := e.clock.Now()
		if last > 0 {
			e.turns.event(now, c.service.Name, now.Sub(last))
			f.pause = max(f.pause, now.Sub(last))
		}
		last = now
		if !f.begun {
			f.first = now.Sub(c.start)
			if c.attempts == 1 {
				e.turns.first(c.service.Name, now.Sub(c.granted))
			}
			e.metrics.First.Get(c.service.Name).Update(float64(e.clock.Since(c.start)))
			f.begin(response)
		}
		if _, err := f.writer.Write(v.raw); err != nil {
			return errors.Wrap(err, "write to caller")
		}
		if err := f.control.Flush(); err != nil {
			return errors.Wrap(err, "flush to caller")
		}
		f.events++
		if v.known {
			f.last = v.id
		}
	}
}
