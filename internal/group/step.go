package group

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/expert"
)

// Begin hands the engine the map of its next step, or returns ErrWait where the switch isn't decided.
//
// A process that was paused decides anew when it wakes, because its engine may
// have restarted meanwhile, and hands over nothing that it decided before.
func (n *Node) Begin(ctx context.Context, step uint64) (use expert.Use, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "begin step %d", step)
		}
	}()
	use, err = n.allow(step)
	if err != nil {
		return expert.Use{}, err
	}
	return use, n.Order(ctx, use)
}

func (n *Node) allow(step uint64) (expert.Use, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clock.Since(n.ticked) > n.settings.Pause {
		return expert.Use{}, ErrWait
	}
	use, ok := n.rank.Begin(step)
	if !ok {
		return expert.Use{}, ErrWait
	}
	return use, nil
}

// Observe takes the counts of one step; on the agent that plans for the group it may begin a switch.
func (n *Node) Observe(r expert.Report) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "observe counts")
		}
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.rank.View()
	if view.Cold || view.Next != nil || view.Promise != nil || n.coordinator.Busy() {
		return n.planner.Observe(r)
	}
	if err := n.planner.Adopt(view.Now.Map); err != nil {
		return err
	}
	if Planner(n.settings.Group, n.Live()) != n.settings.Name {
		return n.planner.Observe(r)
	}
	plan, err := n.planner.Next(r)
	if err != nil || plan.Stay {
		return err
	}
	n.post(n.coordinator.Propose(n.clock.Now(), n.Number(), plan.Map))
	return nil
}

// View returns what the rank knows.
func (n *Node) View() expert.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rank.View()
}

// Planner returns the agent that plans for the group, by rendezvous over its live agents, empty where there are none.
func Planner(group string, live []string) string {
	best, most := "", uint64(0)
	sorted := slices.Sorted(slices.Values(live))
	for _, name := range sorted {
		if h := xxhash.Sum64String(group + "/" + name); best == "" || h > most {
			best, most = name, h
		}
	}
	return best
}
