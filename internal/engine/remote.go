package engine

import (
	"context"

	"github.com/go-kit/log/level"

	"carawaypick/internal/lifecycle"
)

// maxRemoteWork is the number of commands and collections of other agents that run at a time, far above those of a switch.
const maxRemoteWork = 64

// runForAgent carries out work for another agent, unless too much of it waits for the engine already. The other agent asks again.
func (a *Agent) runForAgent(ctx context.Context, from, kind string, work func(context.Context)) {
	select {
	case a.remoteWork <- struct{}{}:
	default:
		a.limited.Log("remote", "level", level.WarnValue(), "msg", "too many commands wait for the engine; message dropped", "from", from, "kind", kind)
		return
	}
	lifecycle.Start(ctx, func(ctx context.Context) error {
		defer func() { <-a.remoteWork }()
		work(ctx)
		return nil
	})
}
