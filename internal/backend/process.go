package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/node"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// Run serves as the agent of a backend server until ctx ends and all work is finished.
func Run(ctx context.Context, s config.Settings, t *telemetry.Telemetry) (err error) {
	n, err := node.New(s, t)
	if err != nil {
		return err
	}
	a, err := New(s, n.Clock, t, n.Member)
	if err != nil {
		return err
	}
	peerpb.RegisterAgentServer(n.Server, a)
	n.Views = operator.Views{
		Status:  func() operator.Status { return a.status(n) },
		Explain: a.ring.Find,
		Ready:   a.ready,
		State:   n.State,
		Metrics: t.Metrics,
	}
	err = n.Run(ctx, node.Role{
		Start:         a.Start,
		App:           operator.NewApp(s.Limits, n.Views),
		BeginShutdown: a.Leave,
		Idle:          a.Idle,
		OnUpdate:      a.OnUpdate,
	})
	a.Wait()
	return err
}

// ready returns an error with the agent's state if it accepts no work.
func (a *Agent) ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state := a.currentState(); state != StateLive {
		return errors.New(state)
	}
	return nil
}

func (a *Agent) status(n *node.Node) operator.Status {
	s := n.Status("agent")
	r := a.report("")
	s.Service = a.settings.Backend.Service
	s.State = r.GetState()
	s.Window = r.GetWindow()
	s.Running = r.GetRunning()
	s.Queued = r.GetQueued()
	s.Tokens = r.GetTokens()
	s.Rate = r.GetRate()
	s.Load = r.GetLoad()
	s.LoadAge = clock.Span(r.GetAge())
	s.Bindings = uint64(a.table.Len())
	return s
}

// recordDecision records a run for explain, with the reason if the work has already ended with a refusal.
func (a *Agent) recordDecision(w *work) {
	reason := ""
	select {
	case <-w.done:
		reason = w.refusal.GetReason()
	default:
	}
	a.ring.Add(operator.Decision{
		Time:    clock.Wall(),
		Process: a.settings.Name,
		Key:     w.request.GetId(),
		Attempt: w.request.GetAttempt(),
		Kind:    "run",
		Reason:  reason,
		Ticket:  uint64(a.member.State().Number),
	})
}
