package caller

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// The agent's deadline is a little earlier than the entry's, so that its word still counts.
const (
	wordMargin = 100 * clock.Millisecond
	wordPart   = 10 // at most this part of the time that is left
)

// errStall is the cause of an attempt that gave no sign of life.
var errStall = errors.New("no sign of life")

// lost is the verdict on an attempt that ended without the agent's word.
func lost(ctx context.Context, outcome string) verdict {
	reason := ReasonLost
	switch {
	case errors.Is(context.Cause(ctx), errStall):
		reason = ReasonStall
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = ReasonLate
	}
	return verdict{outcome: outcome, reason: reason}
}

// attempt makes one attempt at an agent and passes its events to the run's answer.
func (r *run) attempt(ctx context.Context, t Target) (v verdict) {
	r.number++
	ctx, span := r.entry.telemetry.Tracer.Start(ctx, r.trace, "attempt")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.entry.board.Begin(t.Name, r.call.Tokens)
	defer r.entry.board.End(t.Name, r.call.Tokens)
	life := newLife(r.entry.patience(r.call.Service), func() { cancel(errStall) })
	defer life.stop()
	stream, err := r.open(ctx, t)
	if err != nil {
		r.entry.board.Lost(t.Name)
		return lost(ctx, NotRun)
	}
	if err := r.ask(stream, span.Parent()); err != nil {
		return lost(ctx, Unknown)
	}
	v = r.listen(ctx, stream, life)
	if v.reason == ReasonLost || v.reason == ReasonStall {
		r.entry.board.Lost(t.Name)
	}
	return v
}

// open starts the stream; where it fails, nothing of the request has left.
func (r *run) open(ctx context.Context, t Target) (stream grpc.ClientStream, err error) {
	conn, err := r.entry.pool.Conn(t.Address)
	if err != nil {
		return nil, err
	}
	return conn.NewStream(ctx, &peerpb.Agent_ServiceDesc.Streams[0], peerpb.Agent_Run_FullMethodName)
}

func (r *run) ask(stream grpc.ClientStream, trace string) error {
	left := r.call.Deadline.Sub(r.entry.clock.Now())
	left -= min(wordMargin, left/wordPart)
	request := &peerpb.RunRequest{
		Id:          r.call.ID,
		Attempt:     r.number,
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
		Resume:      r.answer.count,
		Entry:       r.entry.settings.Name,
		Fingerprint: r.call.Content,
		Prefix:      r.call.Prefix,
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

// listen passes events on until the attempt ends.
func (r *run) listen(ctx context.Context, stream grpc.ClientStream, life *life) verdict {
	for {
		event := &peerpb.RunEvent{}
		if err := stream.RecvMsg(event); err != nil {
			if errors.Is(err, io.EOF) {
				return verdict{outcome: Unknown, reason: ReasonLost}
			}
			return lost(ctx, Unknown)
		}
		life.sign()
		if event.GetId() != r.call.ID || event.GetAttempt() != r.number {
			r.entry.telemetry.Metrics.Dropped.Get("identity").Inc()
			continue
		}
		r.entry.learn(event)
		if v, ended := r.take(event); ended {
			return v
		}
	}
}

// take handles one event and tells whether it ends the attempt.
func (r *run) take(event *peerpb.RunEvent) (v verdict, ended bool) {
	switch kind := event.GetKind().(type) {
	case *peerpb.RunEvent_Chunk:
		if reason := r.answer.chunk(kind.Chunk); reason != "" {
			return verdict{outcome: Unknown, reason: reason}, true
		}
	case *peerpb.RunEvent_Final:
		if reason := r.answer.check(kind.Final); reason != "" {
			return verdict{outcome: Unknown, reason: reason}, true
		}
		return verdict{whole: true, final: kind.Final}, true
	case *peerpb.RunEvent_Refusal:
		return verdict{
			outcome: outcomeName(kind.Refusal.GetOutcome()),
			reason:  kind.Refusal.GetReason(),
			after:   clock.Span(kind.Refusal.GetAfter()),
		}, true
	}
	return verdict{}, false
}
