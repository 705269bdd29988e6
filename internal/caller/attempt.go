package caller

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// The agent's deadline is earlier than the entry's, so that the agent's result arrives before the entry times out.
const (
	deadlineMargin = 100 * clock.Millisecond
	marginDivisor  = 10 // the margin is at most the remaining time divided by this
)

// errStalled is the cancel cause of an attempt if the agent sends no message for agentIdleTimeout.
var errStalled = errors.New("no message from the agent")

// disconnected returns the result of an attempt that ended without a result from the agent.
func disconnected(ctx context.Context, outcome string) attemptOutcome {
	reason := ReasonDisconnected
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		reason = ReasonStalled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = ReasonDeadline
	}
	return attemptOutcome{outcome: outcome, reason: reason}
}

// attempt sends the call to an agent once and passes the events to the answer.
func (r *callRun) attempt(ctx context.Context, t Target) (result attemptOutcome) {
	r.attempts++
	ctx, span := r.entry.telemetry.Tracer.Start(ctx, r.trace, "attempt")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.entry.tracker.BeginAttempt(t.Name, r.call.Tokens)
	defer r.entry.tracker.EndAttempt(t.Name, r.call.Tokens)
	idle := newIdleTimer(r.entry.agentIdleTimeout(r.call.Service), func() { cancel(errStalled) })
	defer idle.stop()
	stream, err := r.openStream(ctx, t)
	if err != nil {
		r.entry.tracker.MarkUnreachable(t.Name)
		return disconnected(ctx, OutcomeNotRun)
	}
	if err := r.sendRequest(stream, span.Parent()); err != nil {
		return disconnected(ctx, OutcomeUnknown)
	}
	result = r.receive(ctx, stream, idle)
	if result.reason == ReasonDisconnected || result.reason == ReasonStalled {
		r.entry.tracker.MarkUnreachable(t.Name)
	}
	return result
}

// openStream opens the stream; an error proves that nothing of the request was sent.
func (r *callRun) openStream(ctx context.Context, t Target) (stream grpc.ClientStream, err error) {
	conn, err := r.entry.pool.Conn(t.Address)
	if err != nil {
		return nil, err
	}
	return conn.NewStream(ctx, &peerpb.Agent_ServiceDesc.Streams[0], peerpb.Agent_Run_FullMethodName)
}

func (r *callRun) sendRequest(stream grpc.ClientStream, trace string) error {
	left := r.call.Deadline.Sub(r.entry.clock.Now())
	left -= min(deadlineMargin, left/marginDivisor)
	request := &peerpb.RunRequest{
		Id:          r.call.ID,
		Attempt:     r.attempts,
		Send:        r.call.Send,
		Service:     r.call.Service,
		Team:        r.call.Team,
		Priority:    r.call.Priority,
		Deadline:    uint64(max(left, 1)),
		Idempotent:  r.call.Idempotent,
		Binding:     r.call.Binding,
		Method:      r.call.Method,
		Path:        r.call.Path,
		Body:        r.call.Body,
		Resume:      r.answer.forwarded,
		Entry:       r.entry.settings.Name,
		Fingerprint: r.call.Fingerprint,
		Prefix:      r.call.PrefixHash,
		Tokens:      r.call.Tokens,
		Trace:       trace,
		Suspect:     r.suspect,
		Stream:      r.call.Kind == kindModel,
		Digest:      r.entry.member.Digest(),
	}
	if err := stream.SendMsg(request); err != nil {
		return errors.Wrap(err, "send request")
	}
	return stream.CloseSend()
}

// receive handles events until the attempt ends.
func (r *callRun) receive(ctx context.Context, stream grpc.ClientStream, idle *idleTimer) attemptOutcome {
	for {
		event := &peerpb.RunEvent{}
		if err := stream.RecvMsg(event); err != nil {
			if errors.Is(err, io.EOF) {
				return attemptOutcome{outcome: OutcomeUnknown, reason: ReasonDisconnected}
			}
			return disconnected(ctx, OutcomeUnknown)
		}
		idle.reset()
		if event.GetId() != r.call.ID || event.GetAttempt() != r.attempts {
			r.entry.telemetry.Metrics.DroppedAnswers.Get("identity").Inc()
			continue
		}
		r.entry.receiveMetadata(event)
		if result, ended := r.handleEvent(event); ended {
			return result
		}
	}
}

// handleEvent handles one event and reports whether it ends the attempt.
func (r *callRun) handleEvent(event *peerpb.RunEvent) (result attemptOutcome, ended bool) {
	switch kind := event.GetKind().(type) {
	case *peerpb.RunEvent_Chunk:
		if reason := r.answer.addChunk(kind.Chunk); reason != "" {
			return attemptOutcome{outcome: OutcomeUnknown, reason: reason}, true
		}
	case *peerpb.RunEvent_Final:
		if reason := r.answer.verify(kind.Final); reason != "" {
			return attemptOutcome{outcome: OutcomeUnknown, reason: reason}, true
		}
		return attemptOutcome{complete: true, final: kind.Final}, true
	case *peerpb.RunEvent_Refusal:
		return attemptOutcome{
			outcome:    outcomeName(kind.Refusal.GetOutcome()),
			reason:     kind.Refusal.GetReason(),
			retryAfter: clock.Span(kind.Refusal.GetAfter()),
		}, true
	}
	return attemptOutcome{}, false
}
