package group

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/expert"
)

// BeginStep sets the engine's map for its next step, or returns ErrStepNotReady while the step may not begin, as during
// an undecided switch or after a pause of the process.
//
// The engine may have restarted during a pause, so no step begins on a decision from before the pause: the node
// returns ErrStepNotReady until its next tick.
func (n *Node) BeginStep(ctx context.Context, step uint64) (activation expert.Activation, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "begin step %d", step)
		}
	}()
	activation, err = n.nextMap(step)
	if err != nil {
		return expert.Activation{}, err
	}
	return activation, n.Activate(ctx, activation)
}

// nextMap returns the map for the step, or ErrStepNotReady.
func (n *Node) nextMap(step uint64) (expert.Activation, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clock.Since(n.lastTick) > n.settings.PauseTimeout {
		return expert.Activation{}, ErrStepNotReady
	}
	activation, ok := n.rank.BeginStep(step)
	if !ok {
		return expert.Activation{}, ErrStepNotReady
	}
	return activation, nil
}

// Observe adds the counts of one step to the planner's estimates. On the agent that plans for the group it may start a
// switch.
func (n *Node) Observe(r expert.Report) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "observe counts")
		}
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.rank.View()
	if view.Cold || view.Next != nil || view.Promised != nil || n.coordinator.Busy() {
		return n.planner.Observe(r)
	}
	if err := n.planner.Adopt(view.Current.Map); err != nil {
		return err
	}
	if SelectPlanner(n.settings.Group, n.LiveAgents()) != n.settings.Name {
		return n.planner.Observe(r)
	}
	plan, err := n.planner.Next(r)
	if err != nil || plan.Unchanged {
		return err
	}
	n.post(n.coordinator.Propose(n.clock.Now(), n.TicketNumber(), plan.Map))
	return nil
}

// View returns the rank's switch state.
func (n *Node) View() expert.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rank.View()
}

// SelectPlanner returns the agent that plans for the group, by rendezvous hashing of the live agents, or an empty string
// if there are none.
func SelectPlanner(group string, live []string) string {
	planner, highest := "", uint64(0)
	sorted := slices.Sorted(slices.Values(live))
	for _, name := range sorted {
		if h := xxhash.Sum64String(group + "/" + name); planner == "" || h > highest {
			planner, highest = name, h
		}
	}
	return planner
}
