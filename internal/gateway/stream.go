package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// callerStream is the event stream to a caller, which may span several attempts.
type callerStream struct {
	writer      http.ResponseWriter
	control     *http.ResponseController
	started     bool
	contentType string // of the response that the stream started with
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
		if cs.mayGoOn() && e.allowRetry(c, x.outcome) {
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

// mayGoOn reports whether another attempt may go on with the stream: it has not started, or the events that follow the last one
// can be told.
func (cs *callerStream) mayGoOn() bool {
	return !cs.started || isNumber(cs.lastEventID)
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
	switch {
	case !x.headers.valid(c.ID, x.response.StatusCode):
		err = errors.New("stream has no valid seal")
	case cs.started && mediaType(x.response) != cs.contentType:
		err = errors.Newf("stream goes on as %.64q, not as %.64q", mediaType(x.response), cs.contentType)
	default:
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
	content, err := e.readBody(c, x.response)
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

// mediaType returns the media type of a response in lower case, empty for none.
func mediaType(response *http.Response) string {
	media, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

func (cs *callerStream) start(response *http.Response) {
	copyHeaders(cs.writer.Header(), response.Header)
	cs.writer.Header().Del("Content-Length")
	cs.writer.WriteHeader(response.StatusCode)
	cs.started, cs.contentType = true, mediaType(response)
}

// forwardEvents forwards the events of one attempt until they end; it returns nil if they ended as a stream may end.
func (e *Entry) forwardEvents(c *call, cs *callerStream, x *exchange) (err error) {
	events := eventSequence{
		reader: bufio.NewReaderSize(x.response.Body, connBufferSize), last: cs.lastEventID, continues: cs.started,
		large: func() error { return e.takeLargeEvent(c) },
	}
	var times eventTimes
	for size := 0; ; {
		v, ended, err := events.next()
		if err != nil {
			return err
		}
		if ended && len(v.raw) == 0 {
			return nil
		}
		if size += len(v.raw); size > maxResponseBody {
			return errors.Newf("stream exceeds %d bytes", maxResponseBody)
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

// takeLargeEvent takes the memory of the largest event, and of the buffer that it grows in, once for all events of the request.
func (e *Entry) takeLargeEvent(c *call) error {
	const cost = 2 * maxEventSize
	if c.answerBytes > 0 {
		return nil
	}
	if err := e.memory.answers.Take(cost); err != nil {
		return errors.Wrap(err, "large event")
	}
	c.answerBytes = cost
	return nil
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
