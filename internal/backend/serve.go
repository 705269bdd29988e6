package backend

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// sender writes the events of one answer, each with its request identifier and attempt number.
type sender struct {
	request *peerpb.RunRequest
	stream  grpc.ServerStreamingServer[peerpb.RunEvent]
}

func (s sender) event() *peerpb.RunEvent {
	return &peerpb.RunEvent{Id: s.request.GetId(), Attempt: s.request.GetAttempt()}
}

// accepted sends an Accepted event with a report, or as a heartbeat if the report is nil.
func (s sender) accepted(r *peerpb.Report) error {
	e := s.event()
	e.Report = r
	e.Kind = &peerpb.RunEvent_Accepted{Accepted: &peerpb.Accepted{}}
	return s.stream.Send(e)
}

func (s sender) chunk(index uint64, events [][]byte) error {
	e := s.event()
	e.Kind = &peerpb.RunEvent_Chunk{Chunk: &peerpb.Chunk{Index: index, Events: events}}
	return s.stream.Send(e)
}

func (s sender) final(summary Summary, r *peerpb.Report) error {
	e := s.event()
	e.Report = r
	e.Kind = &peerpb.RunEvent_Final{Final: &peerpb.Final{
		Count:   summary.Count,
		Hash:    summary.Hash,
		Status:  int32(summary.Status),
		Content: summary.MediaType,
	}}
	return s.stream.Send(e)
}

func (s sender) refusal(refusal *peerpb.Refusal, r *peerpb.Report) error {
	e := s.event()
	e.Report = r
	e.Kind = &peerpb.RunEvent_Refusal{Refusal: refusal}
	return s.stream.Send(e)
}

// Run serves one attempt at a request.
func (a *Agent) Run(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.RunEvent]) error {
	ctx, span := a.telemetry.Tracer.Start(stream.Context(), request.GetTrace(), "agent")
	defer span.End()
	request.Trace = span.Parent()
	a.member.ReceiveDigest(request.GetDigest(), "")
	s := sender{request: request, stream: stream}
	if request.GetTeam() == "" || request.GetId() == "" {
		return s.refusal(notRun(ReasonTeam, 0), nil)
	}
	if !request.GetIdempotent() {
		return a.runBound(ctx, s)
	}
	return a.runIdempotent(ctx, s)
}

// runIdempotent serves an idempotent request, whose work is cancelled with its stream.
func (a *Agent) runIdempotent(ctx context.Context, s sender) error {
	w := newWork(ctx, s.request, a.clock.Now())
	defer w.cancel()
	if refusal := a.enqueue(w); refusal != nil {
		w.close(Summary{}, refusal)
		a.recordDecision(w)
		return s.refusal(refusal, a.report(s.request.GetEntry()))
	}
	err := a.relay(ctx, s, w)
	a.recordDecision(w)
	return err
}

// relay forwards the events of work to the entry, with heartbeats in between.
func (a *Agent) relay(ctx context.Context, s sender, w *work) error {
	if err := s.accepted(a.report(s.request.GetEntry())); err != nil {
		return err
	}
	heartbeat := time.NewTicker(a.heartbeatInterval())
	defer heartbeat.Stop()
	for {
		select {
		case e := <-w.events:
			if err := s.chunk(e.Index, batch(e, w.events)); err != nil {
				return err
			}
		case <-heartbeat.C:
			if err := s.accepted(nil); err != nil {
				return err
			}
		case <-w.done:
			return a.sendResult(s, w)
		case <-w.ctx.Done():
			a.removeQueued(w)
			select {
			case <-w.done:
				return a.sendResult(s, w)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// batch joins the first event and those that are already buffered into one message.
func batch(first Event, more <-chan Event) [][]byte {
	events := [][]byte{first.Data}
	for range eventBuffer {
		select {
		case e := <-more:
			events = append(events, e.Data)
		default:
			return events
		}
	}
	return events
}

// heartbeatInterval returns the time between two heartbeats to an entry.
func (a *Agent) heartbeatInterval() time.Duration {
	return a.stallTimeout().Duration() / 4
}

// sendResult sends the buffered events and the result of work.
func (a *Agent) sendResult(s sender, w *work) error {
	select {
	case e := <-w.events:
		if err := s.chunk(e.Index, batch(e, w.events)); err != nil {
			return err
		}
	default:
	}
	r := a.report(s.request.GetEntry())
	if w.refusal != nil {
		return s.refusal(w.refusal, r)
	}
	return s.final(w.summary, r)
}

// runBound serves a request that is not idempotent, whose work outlives the stream.
func (a *Agent) runBound(ctx context.Context, s sender) error {
	token, err := binding.Decode(s.request.GetBinding())
	if err != nil {
		return s.refusal(notRun(ReasonBinding, 0), nil)
	}
	var own *work
	for {
		decision := a.table.Decide(a.clock.Now(), token, s.request.GetId(), s.request.GetSend(), s.request.GetFingerprint())
		switch decision.Action {
		case binding.ActionRun:
			own = a.startBound(token, s.request)
			continue
		case binding.ActionJoin:
			if err := a.awaitResult(ctx, s, decision.Done); err != nil {
				return err
			}
		case binding.ActionReplay:
			return a.replay(s, decision.Response)
		case binding.ActionRejectNotRun:
			return s.refusal(ownRefusal(own, decision.Reason), a.report(s.request.GetEntry()))
		default:
			return s.refusal(&peerpb.Refusal{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: decision.Reason}, nil)
		}
	}
}

// ownRefusal returns the refusal of the work that this stream started, or one with the table's reason.
func ownRefusal(own *work, reason string) *peerpb.Refusal {
	if own == nil {
		return notRun(reason, 0)
	}
	select {
	case <-own.done:
		if own.refusal != nil {
			return notRun(own.refusal.GetReason(), clock.Span(own.refusal.GetAfter()))
		}
	default:
	}
	return notRun(reason, 0)
}

// startBound enqueues bound work that the table has just accepted.
func (a *Agent) startBound(token binding.Token, request *peerpb.RunRequest) *work {
	w := newBoundWork(token, request, a.clock.Now(), a.settings.Timing.OutcomeRetention)
	if refusal := a.enqueue(w); refusal != nil {
		a.reject(w, refusal)
	}
	a.recordDecision(w)
	return w
}

// awaitResult blocks until done is closed or ctx ends, and sends heartbeats to the entry meanwhile.
func (a *Agent) awaitResult(ctx context.Context, s sender, done <-chan struct{}) error {
	if err := s.accepted(a.report(s.request.GetEntry())); err != nil {
		return err
	}
	heartbeat := time.NewTicker(a.heartbeatInterval())
	defer heartbeat.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-heartbeat.C:
			if err := s.accepted(nil); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replay sends a stored answer from the event that the entry asks for.
func (a *Agent) replay(s sender, response binding.Response) error {
	r := a.report(s.request.GetEntry())
	if response.Outcome != "done" {
		return s.refusal(&peerpb.Refusal{Outcome: parseOutcome(response.Outcome), Reason: response.Reason}, r)
	}
	from := min(s.request.GetResume(), uint64(len(response.Events)))
	if from < uint64(len(response.Events)) {
		if err := s.chunk(from, response.Events[from:]); err != nil {
			return err
		}
	}
	summary := Summary{Count: uint64(len(response.Events)), Hash: response.EventsHash, Status: response.Status, MediaType: response.ContentType}
	return s.final(summary, r)
}
