package engine

import (
	"context"

	"github.com/go-kit/log/level"

	"carawaypick/internal/lifecycle"
)

// maxErrands is the number of commands and collections of other agents that are carried out at a time, far above those of a switch.
const maxErrands = 64

// startErrand carries out work for another agent, unless too much of it waits for the engine already. The other agent asks again.
func (a *Agent) startErrand(ctx context.Context, from, kind string, work func(context.Context)) {
	select {
	case a.errands <- struct{}{}:
	default:
		a.limited.Log("errands", "level", level.WarnValue(), "msg", "too many commands wait for the engine; message dropped", "from", from, "kind", kind)
		return
	}
	lifecycle.Start(ctx, func(ctx context.Context) error {
		defer func() { <-a.errands }()
		work(ctx)
		return nil
	})
}
