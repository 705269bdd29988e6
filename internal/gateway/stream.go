package gateway

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

// maxEventSize is the maximum size of one event in bytes. Many streams may have one in memory at the same time.
const maxEventSize = 128 << 10

// event is one server-sent event in its raw form.
type event struct {
	raw   []byte
	id    string
	hasID bool // the event has an id field
}

// readEvent reads one event up to its empty line; it returns io.EOF if the stream ended between events and
// io.ErrUnexpectedEOF if it ended within one.
func readEvent(r *bufio.Reader) (v event, err error) {
	start := 0 // of the line
	for {
		part, err := r.ReadSlice('\n')
		v.raw = append(v.raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(v.raw) < maxEventSize {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(v.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return v, err
		}
		if len(v.raw) > maxEventSize {
			return v, errors.Newf("event exceeds %d bytes", maxEventSize)
		}
		field := bytes.TrimRight(v.raw[start:], "\r\n")
		start = len(v.raw)
		if len(field) == 0 {
			return v, nil
		}
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			v.id, v.hasID = string(bytes.TrimSpace(id)), true
		}
	}
}

// isNextEvent reports whether the event id next may follow the event id last: numeric ids must be consecutive.
func isNextEvent(last, next string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	if errA != nil || errB != nil {
		return last != next // non-numeric ids must only differ
	}
	return b == a+1
}

// callerStream is the event stream to a caller, which may span several attempts.
type callerStream struct {
	writer      http.ResponseWriter
	control     *http.ResponseController
	started     bool
	lastEventID string // id of the last event that was forwarded
	events      int
	resumed     int
	timeToFirst clock.Span // ms from the start of the request to its first event
	maxGap      clock.Span // longest gap in ms between two events of an attempt
}

// serveStream serves a request with an event stream, which it resumes at another backend server after an interruption.
func (e *Entry) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	cs := &callerStream{writer: w, control: http.NewResponseController(w), lastEventID: c.LastEventID}
	for {
		s, rej := e.pickServer(c)
		if rej != nil {
			e.abortStream(c, cs, *rej)
			return
		}
		x := e.attempt(ctx, c, s, cs.lastEventID)
		if x.outcome == outcomeAnswered {
			done := e.forwardStream(c, cs, s, &x)
			if done {
				return
			}
		} else {
			e.finishAttempt(c, s, &x)
		}
		if c.request.Context().Err() != nil {
			e.logOutcome(c, "left", "events", cs.events)
			return
		}
		if e.allowRetry(c, x.outcome) {
			cs.resumed++
			e.metrics.Resumes.Get(x.reason).Inc()
			continue
		}
		if cs.started {
			e.abortStream(c, cs, rejection{status: http.StatusBadGateway, reason: "the stream broke"})
			return
		}
		e.rejectFailed(w, c, x)
		return
	}
}

// abortStream ends a request that can't be resumed; a stream that has started must not look complete to the caller.
func (e *Entry) abortStream(c *call, cs *callerStream, rej rejection) {
	if !cs.started {
		e.reject(cs.writer, c, rej)
		return
	}
	e.logOutcome(c, "broken", "reason", rej.reason, "last", c.lastFailure, "events", cs.events, "event", cs.lastEventID)
	panic(http.ErrAbortHandler) // closes the connection without ending the body
}

// forwardStream forwards the events of one attempt and reports whether the caller has received the final response.
func (e *Entry) forwardStream(c *call, cs *callerStream, s *routing.Server, x *exchange) (final bool) {
	if x.response.StatusCode != http.StatusOK {
		return e.forwardNonStream(c, cs, s, x)
	}
	err := error(nil)
	if !x.headers.valid(c.ID, x.response.StatusCode) {
		err = errors.New("stream has no valid seal")
	} else {
		err = e.forwardEvents(c, cs, x)
	}
	if err == nil && !isFramed(x.response) && e.endedWithServer(c, s, x) {
		err = errors.Wrap(io.ErrUnexpectedEOF, "stream ended with its backend server")
	}
	if err == nil {
		e.finishAttempt(c, s, x)
		if !cs.started {
			cs.start(x.response) // a stream without events is complete, too
		}
		e.logOutcome(c, "whole", "status", http.StatusOK, "events", cs.events, "resumed", cs.resumed, "first", cs.timeToFirst, "pause", cs.maxGap)
		return true
	}
	x.outcome, x.err, x.reason = outcomeUnknown, err, "cut"
	if c.request.Context().Err() != nil {
		x.reason = "left"
	}
	c.maybeExecuted, c.lastFailure = true, x.reason
	e.finishAttempt(c, s, x)
	return false
}

// forwardNonStream forwards a response with another status than 200 if the caller's stream has not started, and reports
// whether it forwarded the response.
func (e *Entry) forwardNonStream(c *call, cs *callerStream, s *routing.Server, x *exchange) (final bool) {
	content, err := e.readBody(x.response.Body)
	if err != nil || !x.headers.valid(c.ID, x.response.StatusCode) || cs.started {
		x.outcome, x.reason = outcomeUnknown, "status "+strconv.Itoa(x.response.StatusCode)
		x.err = err
		c.maybeExecuted, c.lastFailure = true, x.reason
	}
	e.finishAttempt(c, s, x)
	if x.outcome != outcomeAnswered {
		return false
	}
	e.forwardResponse(cs.writer, c, x.response, content)
	return true
}

func (cs *callerStream) start(response *http.Response) {
	copyHeaders(cs.writer.Header(), response.Header)
	cs.writer.Header().Del("Content-Length")
	cs.writer.WriteHeader(response.StatusCode)
	cs.started = true
}

// forwardEvents forwards complete events until the stream ends; it returns nil if the stream ended between events.
func (e *Entry) forwardEvents(c *call, cs *callerStream, x *exchange) (err error) {
	reader := bufio.NewReaderSize(x.response.Body, connBufferSize)
	var times eventTimes
	for size := 0; ; {
		v, ended, err := readNumberedEvent(reader)
		if err != nil {
			return err
		}
		if ended && len(v.raw) == 0 {
			return nil
		}
		if size += len(v.raw); size > maxResponseBody {
			return errors.Newf("stream exceeds %d bytes", maxResponseBody)
		}
		if v.hasID && !isNextEvent(cs.lastEventID, v.id) {
			return errors.Newf("unexpected event id: got %s after %s", v.id, cs.lastEventID)
		}
		x.progressed = true
		e.recordEvent(c, cs, x, &times)
		if !cs.started {
			cs.start(x.response)
		}
		if err := cs.write(v.raw); err != nil {
			return errors.Wrap(err, "write to caller")
		}
		if ended {
			return nil
		}
		cs.events++
		cs.lastEventID = v.id
	}
}

// readNumberedEvent reads events up to one that has an id and returns them as one. Others are held back, so that a server
// which sends nothing else is recognised as faulty before the caller gets any of it; at the end of the stream the event
// has those that no other follows.
func readNumberedEvent(r *bufio.Reader) (v event, ended bool, err error) {
	for {
		next, err := readEvent(r)
		ended = errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !ended {
			return v, false, err
		}
		v.raw, v.id, v.hasID = append(v.raw, next.raw...), next.id, next.hasID
		if len(v.raw) > maxEventSize {
			return v, false, errors.Newf("%d bytes of events without an id", len(v.raw))
		}
		if v.hasID || ended {
			return v, ended, nil
		}
	}
}

// eventTimes are the times of the first and the last event of an attempt.
type eventTimes struct {
	first, last clock.Time
}

// recordEvent records the time of an event for the caller's stream, the load of the service and the parts of the prompt.
func (e *Entry) recordEvent(c *call, cs *callerStream, x *exchange, t *eventTimes) {
	now := e.clock.Now()
	if t.last > 0 {
		e.admission.recordGap(now, c.service.Name, now.Sub(t.last))
		cs.maxGap = max(cs.maxGap, now.Sub(t.last))
	}
	t.last = now
	e.loads.RecordWorkEvent(c.placement)
	if t.first == 0 {
		t.first = now
	}
	if !x.partsSound && now.Sub(t.first) >= soundAfter {
		x.partsSound = true
		e.suspects.addCompletedParts(c.SharedParts)
	}
	if cs.started {
		return
	}
	cs.timeToFirst = now.Sub(c.start)
	if c.attempts == 1 {
		e.admission.recordFirstEvent(c.service.Name, now.Sub(c.admittedAt))
	}
	e.metrics.FirstEventLatency.Get(c.service.Name).Update(float64(e.clock.Since(c.start)))
}

// write sends events to the caller at once.
func (cs *callerStream) write(raw []byte) error {
	if _, err := cs.writer.Write(raw); err != nil {
		return err
	}
	return cs.control.Flush()
}
