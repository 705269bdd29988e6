package caller

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/node"
	"carawaypick/internal/operator"
	"carawaypick/internal/telemetry"
)

// Run serves as an entry until ctx ends and all calls have finished.
func Run(ctx context.Context, s config.Settings, t *telemetry.Telemetry) (err error) {
	n, err := node.New(s, t)
	if err != nil {
		return err
	}
	e := New(s, n.Clock, t, n.Member, n.Pool)
	n.Views = operator.Views{
		Status:  func() operator.Status { return e.status(n) },
		Explain: e.ring.Find,
		Ready:   e.ready,
		State:   n.State,
		Metrics: t.Metrics,
	}
	return n.Run(ctx, node.Role{
		Start:         e.Start,
		App:           e.App(n.Views),
		BeginShutdown: e.Leave,
		Idle:          e.Idle,
		OnUpdate:      e.OnUpdate,
	})
}

// ready returns an error with the reason if callers should not use this entry.
func (e *Entry) ready() error {
	switch {
	case !e.member.Ready():
		return errors.New("no configuration yet")
	case !e.tracker.Ready():
		return errors.New("no reports of the agents yet")
	case e.leaving.Load():
		return errors.New("shutting down")
	}
	return nil
}

func (e *Entry) status(n *node.Node) operator.Status {
	s := n.Status("entry")
	s.State = "live"
	if e.leaving.Load() {
		s.State = "leaving"
	}
	s.Running = uint32(max(e.calls.Load(), 0))
	s.Backends = e.tracker.backends()
	return s
}

// backends returns the entry's view of each agent, for the status.
func (a *AgentTracker) backends() (list []operator.BackendStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, s := range a.agents {
		backend := operator.BackendStatus{
			Name:        s.target.Name,
			Zone:        s.target.Zone,
			Service:     s.service,
			State:       "unknown",
			Outstanding: s.outstanding,
		}
		if s.report != nil {
			backend.State = s.report.GetState()
			backend.Grant = s.report.GetGrant()
			backend.Age = now.Sub(s.reportedAt)
		}
		list = append(list, backend)
	}
	return list
}
