package backend

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// sender writes the events of one answer, each with the request and attempt that it answers.
type sender struct {
	request *peerpb.RunRequest
	stream  grpc.ServerStreamingServer[peerpb.RunEvent]
}

func (s sender) event() *peerpb.RunEvent {
	return &peerpb.RunEvent{Id: s.request.GetId(), Attempt: s.request.GetAttempt()}
}

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

func (s sender) final(end End, r *peerpb.Report) error {
	e := s.event()
	e.Report = r
	e.Kind = &peerpb.RunEvent_Final{Final: &peerpb.Final{
		Count:   end.Count,
		Hash:    end.Hash,
		Status:  int32(end.Status),
		Content: end.Content,
	}}
	return s.stream.Send(e)
}

func (s sender) refusal(refusal *peerpb.Refusal, r *peerpb.Report) error {
	e := s.event()
	e.Report = r
	e.Kind = &peerpb.RunEvent_Refusal{Refusal: refusal}
	return s.stream.Send(e)
}

// Run serves one attempt of a request.
func (a *Agent) Run(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.RunEvent]) error {
	ctx, span := a.telemetry.Tracer.Start(stream.Context(), request.GetTrace(), "agent")
	defer span.End()
	request.Trace = span.Parent()
	a.member.Heard(request.GetDigest(), "")
	s := sender{request: request, stream: stream}
	if request.GetTeam() == "" || request.GetId() == "" {
		return s.refusal(notRun(ReasonTeam, 0), nil)
	}
	if !request.GetIdempotent() {
		return a.runBound(ctx, s)
	}
	return a.runFree(ctx, s)
}

// runFree serves an idempotent request: its work ends with its stream.
func (a *Agent) runFree(ctx context.Context, s sender) error {
	w := newWork(ctx, s.request, a.clock.Now())
	defer w.cancel()
	if refusal := a.enqueue(w); refusal != nil {
		w.close(End{}, refusal)
		a.note(w)
		return s.refusal(refusal, a.report(s.request.GetEntry()))
	}
	err := a.relay(ctx, s, w)
	a.note(w)
	return err
}

// relay passes the events of work on and keeps the entry told that the agent is alive.
func (a *Agent) relay(ctx context.Context, s sender, w *work) error {
	if err := s.accepted(a.report(s.request.GetEntry())); err != nil {
		return err
	}
	beat := time.NewTicker(a.beat())
	defer beat.Stop()
	for {
		select {
		case p := <-w.pieces:
			if err := s.chunk(p.Index, gather(p, w.pieces)); err != nil {
				return err
			}
		case <-beat.C:
			if err := s.accepted(nil); err != nil {
				return err
			}
		case <-w.done:
			return a.conclusion(s, w)
		case <-w.ctx.Done():
			a.withdraw(w)
			select {
			case <-w.done:
				return a.conclusion(s, w)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// gather joins events that have come at once into one message.
func gather(first Piece, more <-chan Piece) [][]byte {
	events := [][]byte{first.Data}
	for range pieceBuffer {
		select {
		case p := <-more:
			events = append(events, p.Data)
		default:
			return events
		}
	}
	return events
}

// beat returns the time between two signs of life.
func (a *Agent) beat() time.Duration {
	return a.stall().Duration() / 4
}

// conclusion sends the events that are left and the end of work.
func (a *Agent) conclusion(s sender, w *work) error {
	select {
	case p := <-w.pieces:
		if err := s.chunk(p.Index, gather(p, w.pieces)); err != nil {
			return err
		}
	default:
	}
	r := a.report(s.request.GetEntry())
	if w.refusal != nil {
		return s.refusal(w.refusal, r)
	}
	return s.final(w.end, r)
}

// runBound serves a request that may not be repeated: its work outlives the stream.
func (a *Agent) runBound(ctx context.Context, s sender) error {
	token, err := binding.Decode(s.request.GetBinding())
	if err != nil {
		return s.refusal(notRun(ReasonBinding, 0), nil)
	}
	var own *work
	for {
		verdict := a.table.Open(a.clock.Now(), token, s.request.GetId(), s.request.GetSend(), s.request.GetFingerprint())
		switch verdict.Step {
		case binding.Run:
			own = a.runOnce(token, s.request)
			continue
		case binding.Join:
			if err := a.await(ctx, s, verdict.Done); err != nil {
				return err
			}
		case binding.Replay:
			return a.replay(s, verdict.Answer)
		case binding.NotRun:
			return s.refusal(ownRefusal(own, verdict.Reason), a.report(s.request.GetEntry()))
		default:
			return s.refusal(&peerpb.Refusal{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: verdict.Reason}, nil)
		}
	}
}

// ownRefusal prefers the refusal of the work that this stream itself started.
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

// runOnce enqueues bound work that the table has just opened.
func (a *Agent) runOnce(token binding.Token, request *peerpb.RunRequest) *work {
	w := newBound(token, request, a.clock.Now(), a.settings.Timing.Keep)
	if refusal := a.enqueue(w); refusal != nil {
		a.deny(w, refusal)
	}
	a.note(w)
	return w
}

// await waits for the run of an identifier and keeps the entry told that the agent is alive.
func (a *Agent) await(ctx context.Context, s sender, done <-chan struct{}) error {
	if err := s.accepted(a.report(s.request.GetEntry())); err != nil {
		return err
	}
	beat := time.NewTicker(a.beat())
	defer beat.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-beat.C:
			if err := s.accepted(nil); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replay gives a held answer.
func (a *Agent) replay(s sender, answer binding.Answer) error {
	r := a.report(s.request.GetEntry())
	if answer.Outcome != "done" {
		return s.refusal(&peerpb.Refusal{Outcome: outcomeOf(answer.Outcome), Reason: answer.Reason}, r)
	}
	from := min(s.request.GetResume(), uint64(len(answer.Events)))
	if from < uint64(len(answer.Events)) {
		if err := s.chunk(from, answer.Events[from:]); err != nil {
			return err
		}
	}
	end := End{Count: uint64(len(answer.Events)), Hash: answer.Hash, Status: answer.Status, Content: answer.Content}
	return s.final(end, r)
}
