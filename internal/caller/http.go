package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"

	"carawaypick/internal/lifecycle"
	"carawaypick/internal/operator"
	"carawaypick/pkg/clock"
)

const (
	maxHeaderBytes = 8 << 10           // maximum size of a request's headers
	readTimeout    = 10 * clock.Second // timeout for reading a complete request
	idleTimeout    = 60 * clock.Second // time after which an idle keep-alive connection is closed
	eventBuffer    = 64                // events buffered for a slow caller
)

// answerEvent is one event of an answer.
type answerEvent struct {
	index uint64
	data  []byte
}

// callOutcome is the final result of a run.
type callOutcome struct {
	run    *callRun
	result attemptOutcome
}

// App returns the HTTP server for callers and operators.
func (e *Entry) App(views operator.Views) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             e.settings.Limits.MaxBodyBytes,
		Concurrency:           e.settings.Limits.MaxConnections,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
		ReduceMemoryUsage:     true, // a connection without a request keeps no buffer of the last body
	})
	app.Use(recover.New())
	app.Use(operator.PinRequest)
	app.Get("/v1/locate", e.locate)
	app.All("/v1/call/:service/*", e.call)
	app.All("/v1/call/:service", e.call)
	operator.RegisterRoutes(app, views)
	return app
}

// call validates, runs and answers one call.
func (e *Entry) call(c *fiber.Ctx) error {
	now := e.clock.Now()
	if !e.member.Ready() {
		return e.reject(c, ReasonNoConfiguration)
	}
	if e.calls.Add(1) > int64(e.settings.Limits.MaxCalls) {
		e.calls.Add(-1)
		return e.reject(c, ReasonBusy)
	}
	call, err := parse(c, now, e.member.State())
	if err != nil {
		e.calls.Add(-1)
		return e.rejectMalformed(c, err)
	}
	events, ended, cancel := e.startCall(call)
	select {
	case event := <-events:
		return e.respond(c, call, event, events, ended, cancel)
	case o := <-ended:
		defer cancel()
		return e.respondEnded(c, call, events, o)
	}
}

// startCall starts the run, which sends its events on events and its outcome on ended.
func (e *Entry) startCall(call *Call) (events chan answerEvent, ended <-chan callOutcome, cancel context.CancelFunc) {
	left := call.Deadline.Sub(e.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	events = make(chan answerEvent, eventBuffer)
	end := make(chan callOutcome, 1)
	lifecycle.Start(ctx, func(ctx context.Context) error {
		defer e.calls.Add(-1)
		ctx, span := e.telemetry.Tracer.Start(ctx, call.Trace, "call")
		defer span.End()
		r := &callRun{entry: e, call: call, trace: span.Parent()}
		r.answer = newAnswer(func(index uint64, data []byte) error {
			if index == 0 {
				e.telemetry.Metrics.FirstEventLatency.Get(call.Service).Update(float64(e.clock.Since(call.ReceivedAt)))
			}
			select {
			case events <- answerEvent{index: index, data: data}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		result := r.route(ctx)
		r.record("final", "", result.outcome+" "+result.reason)
		e.recordOutcome(call, result)
		end <- callOutcome{run: r, result: result}
		return nil
	})
	return events, end, cancel
}

// recordOutcome counts the outcome of a call in the metrics and logs failures.
func (e *Entry) recordOutcome(call *Call, result attemptOutcome) {
	name := "whole"
	if !result.complete {
		name = result.outcome
		e.telemetry.Metrics.Rejections.Get(result.reason).Inc()
		level.Info(e.telemetry.Logger).Log("msg", "call not answered", "id", call.ID, "team", call.Team,
			"service", call.Service, "outcome", result.outcome, "reason", result.reason, "ticket", e.member.State().Number)
	}
	e.telemetry.Metrics.Calls.Get(name).Inc()
	e.telemetry.Metrics.Latency.Get(call.Service).Update(float64(e.clock.Since(call.ReceivedAt)))
}

// respond answers a call after its first event: as a stream for models, otherwise once the run has ended.
func (e *Entry) respond(c *fiber.Ctx, call *Call, first answerEvent, events <-chan answerEvent, ended <-chan callOutcome, cancel context.CancelFunc) error {
	if call.Kind != kindModel {
		defer cancel()
		o := <-ended
		if !o.result.complete {
			return e.sendFailure(c, call, o)
		}
		return e.sendPlain(c, call, first.data, o)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(HeaderID, call.ID)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		e.streamEvents(w, call, first, events, ended)
	})
	return nil
}

// streamEvents writes events as they arrive. It returns when a write fails, and its caller then cancels the run.
func (e *Entry) streamEvents(w *bufio.Writer, call *Call, first answerEvent, events <-chan answerEvent, ended <-chan callOutcome) {
	if writeEvent(w, call.ID, first) != nil {
		return
	}
	for {
		select {
		case event := <-events:
			if writeEvent(w, call.ID, event) != nil {
				return
			}
		case o := <-ended:
			if writePending(w, call.ID, events) == nil {
				e.writeEnd(w, call, o)
			}
			return
		}
	}
}

func writePending(w *bufio.Writer, id string, events <-chan answerEvent) error {
	for {
		select {
		case event := <-events:
			if err := writeEvent(w, id, event); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// eventBody is the JSON of a stream event.
type eventBody struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Text  string `json:"text"`
}

func writeEvent(w *bufio.Writer, id string, event answerEvent) error {
	content, err := json.Marshal(eventBody{ID: id, Index: event.index, Text: string(event.data)})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.index, content); err != nil {
		return err
	}
	return w.Flush()
}

// writeEnd writes the final event of a complete answer, or the error event.
func (e *Entry) writeEnd(w *bufio.Writer, call *Call, o callOutcome) {
	name := "error"
	content, err := json.Marshal(o.failure(call))
	if o.result.complete {
		name = "final"
		content, err = json.Marshal(FinalEvent{
			ID:      call.ID,
			Attempt: o.run.attempts,
			Count:   o.result.final.GetCount(),
			Hash:    fmt.Sprintf("%016x", o.result.final.GetHash()),
		})
	}
	if err != nil {
		return
	}
	if _, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, content); err != nil {
		return
	}
	_ = w.Flush()
}

// respondEnded answers a call whose run ended before its first event was read.
func (e *Entry) respondEnded(c *fiber.Ctx, call *Call, events <-chan answerEvent, o callOutcome) error {
	if call.Kind == kindModel && (o.result.complete || o.run.answer.forwarded > 0) {
		c.Set(fiber.HeaderContentType, "text/event-stream")
		c.Set(HeaderID, call.ID)
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
			if writePending(w, call.ID, events) == nil {
				e.writeEnd(w, call, o)
			}
		})
		return nil
	}
	if !o.result.complete {
		return e.sendFailure(c, call, o)
	}
	event := <-events
	return e.sendPlain(c, call, event.data, o)
}

func (e *Entry) sendPlain(c *fiber.Ctx, call *Call, content []byte, o callOutcome) error {
	c.Set(HeaderID, call.ID)
	c.Set(HeaderAttempt, strconv.Itoa(int(o.run.attempts)))
	c.Set(fiber.HeaderContentType, o.result.final.GetContent())
	return c.Status(int(o.result.final.GetStatus())).Send(content)
}

func (o callOutcome) failure(call *Call) CallFailure {
	return CallFailure{
		ID:         call.ID,
		Attempt:    o.run.attempts,
		Outcome:    o.result.outcome,
		Reason:     o.result.reason,
		RetryAfter: o.result.retryAfter,
		SentEvents: o.run.answer.forwarded,
	}
}

func (e *Entry) sendFailure(c *fiber.Ctx, call *Call, o callOutcome) error {
	return writeFailure(c, o.failure(call))
}

// reject answers a call that this entry doesn't run and of which it has parsed only the headers. The outcome is
// unknown if the call has a binding and is not the first send, because an earlier send may have run.
func (e *Entry) reject(c *fiber.Ctx, reason string) error {
	outcome := OutcomeNotRun
	if c.Get(HeaderBinding) != "" && c.Get(HeaderSend) != "1" {
		outcome = OutcomeUnknown
	}
	e.telemetry.Metrics.Rejections.Get(reason).Inc()
	return writeFailure(c, CallFailure{ID: c.Get(HeaderID), Outcome: outcome, Reason: reason, RetryAfter: defaultRetryAfter})
}

func (e *Entry) rejectMalformed(c *fiber.Ctx, err error) error {
	e.telemetry.Metrics.MalformedInputs.Get("caller").Inc()
	var invalid *BadRequestError
	reason := "malformed"
	if errors.As(err, &invalid) {
		reason = invalid.Error()
	}
	return writeFailure(c, CallFailure{ID: c.Get(HeaderID), Outcome: OutcomeBad, Reason: reason})
}

func writeFailure(c *fiber.Ctx, failure CallFailure) error {
	status := fiber.StatusBadGateway
	switch failure.Outcome {
	case OutcomeNotRun:
		status = fiber.StatusServiceUnavailable
	case OutcomeFailed:
		status = fiber.StatusInternalServerError
	case OutcomeBad:
		status = fiber.StatusBadRequest
	}
	c.Set(HeaderID, failure.ID)
	if failure.RetryAfter > 0 {
		seconds := (failure.RetryAfter + clock.Second - 1) / clock.Second
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.Status(status).JSON(failure)
}
