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

	"carawaypick/internal/kernel"
	"carawaypick/internal/operator"
	"carawaypick/pkg/clock"
)

const (
	maxHeader   = 8 << 10           // bytes of a caller's headers
	readTimeout = 10 * clock.Second // for a whole request
	idleTimeout = 60 * clock.Second // of a kept connection
	pieceBuffer = 64                // events that wait for a slow caller
)

// piece is one event on its way from the run to the caller.
type piece struct {
	index uint64
	data  []byte
}

// outcome is how a run ended.
type outcome struct {
	run     *run
	verdict verdict
}

// App returns the HTTP server for callers and operators.
func (e *Entry) App(views operator.Views) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             e.settings.Limits.Body,
		Concurrency:           e.settings.Limits.Connections,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           readTimeout.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
	})
	app.Use(recover.New())
	app.Get("/v1/locate", e.locate)
	app.All("/v1/call/:service/*", e.call)
	app.All("/v1/call/:service", e.call)
	operator.Register(app, views)
	return app
}

// call serves one call.
func (e *Entry) call(c *fiber.Ctx) error {
	now := e.clock.Now()
	if !e.member.Ready() {
		return e.turnAway(c, ReasonCold)
	}
	if e.calls.Add(1) > int64(e.settings.Limits.Calls) {
		e.calls.Add(-1)
		return e.turnAway(c, ReasonBusy)
	}
	call, err := parse(c, now, e.member.State())
	if err != nil {
		e.calls.Add(-1)
		return e.malformed(c, err)
	}
	pieces, ended, cancel := e.launch(call)
	select {
	case p := <-pieces:
		return e.begin(c, call, p, pieces, ended, cancel)
	case o := <-ended:
		defer cancel()
		return e.finish(c, call, pieces, o)
	}
}

// launch starts the run; its events come on pieces and its end on ended.
func (e *Entry) launch(call *Call) (pieces chan piece, ended <-chan outcome, cancel context.CancelFunc) {
	left := call.Deadline.Sub(e.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	pieces = make(chan piece, pieceBuffer)
	end := make(chan outcome, 1)
	kernel.Start(ctx, func(ctx context.Context) error {
		defer e.calls.Add(-1)
		ctx, span := e.telemetry.Tracer.Start(ctx, call.Trace, "call")
		defer span.End()
		r := &run{entry: e, call: call, trace: span.Parent()}
		r.answer = newAnswer(func(index uint64, data []byte) error {
			if index == 0 {
				e.telemetry.Metrics.First.Get(call.Service).Update(float64(e.clock.Since(call.Start)))
			}
			select {
			case pieces <- piece{index: index, data: data}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		v := r.route(ctx)
		r.note("final", "", v.outcome+" "+v.reason)
		e.count(call, v)
		end <- outcome{run: r, verdict: v}
		return nil
	})
	return pieces, end, cancel
}

// count adds the end of a call to the metrics and, where it failed, to the log.
func (e *Entry) count(call *Call, v verdict) {
	name := "whole"
	if !v.whole {
		name = v.outcome
		e.telemetry.Metrics.Refusals.Get(v.reason).Inc()
		level.Info(e.telemetry.Logger).Log("msg", "call not answered", "id", call.ID, "team", call.Team,
			"service", call.Service, "outcome", v.outcome, "reason", v.reason, "ticket", e.member.State().Number)
	}
	e.telemetry.Metrics.Calls.Get(name).Inc()
	e.telemetry.Metrics.Latency.Get(call.Service).Update(float64(e.clock.Since(call.Start)))
}

// begin answers a call whose first event has come.
func (e *Entry) begin(c *fiber.Ctx, call *Call, first piece, pieces <-chan piece, ended <-chan outcome, cancel context.CancelFunc) error {
	if call.Kind != kindModel {
		defer cancel()
		o := <-ended
		if !o.verdict.whole {
			return e.refuse(c, call, o)
		}
		return e.plain(c, call, first.data, o)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(HeaderID, call.ID)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		e.stream(w, call, first, pieces, ended)
	})
	return nil
}

// stream writes events as they come; where the caller is gone, the run's context ends with this function.
func (e *Entry) stream(w *bufio.Writer, call *Call, first piece, pieces <-chan piece, ended <-chan outcome) {
	if writeEvent(w, call.ID, first) != nil {
		return
	}
	for {
		select {
		case p := <-pieces:
			if writeEvent(w, call.ID, p) != nil {
				return
			}
		case o := <-ended:
			if drain(w, call.ID, pieces) == nil {
				e.closeStream(w, call, o)
			}
			return
		}
	}
}

func drain(w *bufio.Writer, id string, pieces <-chan piece) error {
	for {
		select {
		case p := <-pieces:
			if err := writeEvent(w, id, p); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// text is one event of a stream, as callers read it.
type text struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Text  string `json:"text"`
}

func writeEvent(w *bufio.Writer, id string, p piece) error {
	content, err := json.Marshal(text{ID: id, Index: p.index, Text: string(p.data)})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", p.index, content); err != nil {
		return err
	}
	return w.Flush()
}

// closeStream writes the final or error event.
func (e *Entry) closeStream(w *bufio.Writer, call *Call, o outcome) {
	name := "error"
	content, err := json.Marshal(o.ending(call))
	if o.verdict.whole {
		name = "final"
		content, err = json.Marshal(Closing{
			ID:      call.ID,
			Attempt: o.run.number,
			Count:   o.verdict.final.GetCount(),
			Hash:    fmt.Sprintf("%016x", o.verdict.final.GetHash()),
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

// finish answers a call that ended before its first event was seen.
func (e *Entry) finish(c *fiber.Ctx, call *Call, pieces <-chan piece, o outcome) error {
	if call.Kind == kindModel && (o.verdict.whole || o.run.answer.count > 0) {
		c.Set(fiber.HeaderContentType, "text/event-stream")
		c.Set(HeaderID, call.ID)
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
			if drain(w, call.ID, pieces) == nil {
				e.closeStream(w, call, o)
			}
		})
		return nil
	}
	if !o.verdict.whole {
		return e.refuse(c, call, o)
	}
	p := <-pieces
	return e.plain(c, call, p.data, o)
}

func (e *Entry) plain(c *fiber.Ctx, call *Call, content []byte, o outcome) error {
	c.Set(HeaderID, call.ID)
	c.Set(HeaderAttempt, strconv.Itoa(int(o.run.number)))
	c.Set(fiber.HeaderContentType, o.verdict.final.GetContent())
	return c.Status(int(o.verdict.final.GetStatus())).Send(content)
}

func (o outcome) ending(call *Call) Ending {
	return Ending{
		ID:      call.ID,
		Attempt: o.run.number,
		Outcome: o.verdict.outcome,
		Reason:  o.verdict.reason,
		After:   o.verdict.after,
		Events:  o.run.answer.count,
	}
}

func (e *Entry) refuse(c *fiber.Ctx, call *Call, o outcome) error {
	return sendEnding(c, o.ending(call))
}

// turnAway refuses a call of which nothing but the headers was looked at.
func (e *Entry) turnAway(c *fiber.Ctx, reason string) error {
	outcome := NotRun
	if c.Get(HeaderBinding) != "" && c.Get(HeaderSend) != "1" {
		outcome = Unknown
	}
	e.telemetry.Metrics.Refusals.Get(reason).Inc()
	return sendEnding(c, Ending{ID: c.Get(HeaderID), Outcome: outcome, Reason: reason, After: refusedAfter})
}

func (e *Entry) malformed(c *fiber.Ctx, err error) error {
	e.telemetry.Metrics.Bad.Get("caller").Inc()
	var fault *BadError
	reason := "malformed"
	if errors.As(err, &fault) {
		reason = fault.Error()
	}
	return sendEnding(c, Ending{ID: c.Get(HeaderID), Outcome: Bad, Reason: reason})
}

func sendEnding(c *fiber.Ctx, ending Ending) error {
	status := fiber.StatusBadGateway
	switch ending.Outcome {
	case NotRun:
		status = fiber.StatusServiceUnavailable
	case Failed:
		status = fiber.StatusInternalServerError
	case Bad:
		status = fiber.StatusBadRequest
	}
	c.Set(HeaderID, ending.ID)
	if ending.After > 0 {
		seconds := (ending.After + clock.Second - 1) / clock.Second
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.Status(status).JSON(ending)
}
