package caller

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/node"
	"carawaypick/internal/operator"
	"carawaypick/internal/telemetry"
)

// Run serves as an entry until ctx ends and all calls are finished.
func Run(ctx context.Context, s config.Settings, t *telemetry.Telemetry) (err error) {
	n, err := node.Open(s, t)
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
		Start: e.Start,
		App:   e.App(n.Views),
		Leave: e.Leave,
		Idle:  e.Idle,
		Hear:  e.Hear,
	})
}

// ready tells why callers should not use this entry, or nil.
func (e *Entry) ready() error {
	switch {
	case !e.member.Ready():
		return errors.New("no configuration yet")
	case !e.board.Settled():
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
	s.Backends = e.board.backends()
	return s
}

// backends returns what the entry believes of each agent.
func (b *Board) backends() (list []operator.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, v := range b.agents {
		known := operator.Backend{
			Name:        v.target.Name,
			Zone:        v.target.Zone,
			Service:     v.service,
			State:       "unknown",
			Outstanding: v.outstanding,
		}
		if v.report != nil {
			known.State = v.report.GetState()
			known.Grant = v.report.GetGrant()
			known.Age = now.Sub(v.at)
		}
		list = append(list, known)
	}
	return list
}
