package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/lifecycle"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

func (a *Agent) handleReply(r commandReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller == nil {
		return
	}
	if rank, known := a.controller.coordinator.RankOf(r.ID); known && r.UnknownBase {
		a.controller.lacksBase[rank] = true
	}
	a.controller.coordinator.Handle(a.clock.Now(), r.ID, r.Reply)
}

const minRelayTimeout = 150 * clock.Millisecond // after which a relayed command counts as unanswered, at least

// sendCommands sends commands to their ranks. A command that delays no step goes via the agent of its rank at first, if
// the agent responds, because a command from another instance costs the engine more; a map always does, since sending it
// to the engines takes far more of the link. The replies arrive in a.replies.
func (a *Agent) sendCommands(ctx context.Context, now clock.Time, commands []expert.Command) {
	var relays []relayedCommand
	many := len(commands) > a.controller.budget.batchSize() // too many to open a connection for each
	for _, c := range commands {
		i := slices.IndexFunc(a.group.Members, func(m Member) bool { return m.Rank == c.Rank })
		if i < 0 {
			continue
		}
		m := a.group.Members[i]
		relayed := c.Map != nil || ((!c.Again || many) && (c.Op == expert.OpPrepare || c.Op == expert.OpArm || c.Op == expert.OpDisarm)) // the other operations delay a step, so they are sent to the engine directly
		if relayed && m.IP != a.settings.IP && (many || a.controller.responds(now, c.Rank)) {
			relays = append(relays, relayedCommand{Command: c, ReplyTo: a.settings.IP, Targets: []relayTarget{{ID: c.ID, Rank: c.Rank, IP: m.IP}}})
			continue
		}
		lifecycle.Start(ctx, func(ctx context.Context) error {
			a.deliverReply(ctx, a.sendCommand(ctx, m.Engine, c))
			return nil
		})
	}
	if len(relays) == 0 {
		return
	}
	withMap := relays[0].Command.Map != nil
	timeout := a.controller.budget.relayTimeout(len(relays), withMap)
	for _, r := range relays {
		time.AfterFunc(timeout.Duration(), func() { a.deliverReply(ctx, commandReply{ID: r.Command.ID, Reply: expert.ReplyLost}) })
	}
	if withMap {
		a.packMaps(relays)
	}
	for _, r := range a.controller.batchRelays(relays, withMap) {
		a.sendRelay(r)
	}
}

// packMaps packs the map of the relays, which is the same for all, as its difference from the map in use, or from the first one
// for agents that lack that. Relays with one base follow each other.
func (a *Agent) packMaps(relays []relayedCommand) {
	c, m := a.controller, relays[0].Command.Map
	a.maps.add(relays[0].Command.Version, m)
	version := c.statuses[c.coordinator.LocalRank()].Version
	base, known := a.maps.base(version)
	fromFirst := packMap(m, nil, 0, a.group.Shape.Experts)
	packed := fromFirst
	if known {
		packed = packMap(m, base, version, a.group.Shape.Experts)
	}
	for i := range relays {
		relays[i].Map, relays[i].Command.Map = &packed, nil
		if c.lacksBase[relays[i].Command.Rank] {
			relays[i].Map = &fromFirst
		}
	}
	slices.SortStableFunc(relays, func(x, y relayedCommand) int { return cmp.Compare(x.Map.Base, y.Map.Base) })
}

// batchRelays merges the relays of one command to many ranks into batches, so that the coordinator sends it to a few agents,
// each of which relays it to the other ranks of its batch.
func (c *mapController) batchRelays(relays []relayedCommand, withMap bool) (batches []relayedCommand) {
	if !c.budget.relayBatched(len(relays), withMap) {
		return relays
	}
	for _, r := range relays {
		if last := len(batches) - 1; last >= 0 && batches[last].Map == r.Map && len(batches[last].Targets) < c.budget.batchSize() {
			batches[last].Targets = append(batches[last].Targets, r.Targets...)
			continue
		}
		batches = append(batches, r)
	}
	return batches
}

// sendRelay sends the command to the agent of the first target, with the other targets to relay it to.
func (a *Agent) sendRelay(r relayedCommand) {
	first := r.Targets[0]
	r.Command.ID, r.Command.Rank, r.Targets = first.ID, first.Rank, r.Targets[1:]
	a.send(first.IP, message{Command: &r})
}

// unpackMap sets the command's map, or returns false if this agent lacks its base.
func (a *Agent) unpackMap(r *relayedCommand) (ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	base, ok := a.maps.base(r.Map.Base)
	if !ok {
		return false
	}
	if r.Command.Map, ok = r.Map.unpack(base); ok {
		a.maps.add(r.Command.Version, r.Command.Map)
	}
	return ok
}

func (a *Agent) deliverReply(ctx context.Context, r commandReply) {
	select {
	case a.replies <- r:
	case <-ctx.Done():
	}
}

// relayCommand relays a command to its targets, sends it to the local engine and returns the reply to the coordinator.
func (a *Agent) relayCommand(ctx context.Context, from string, r relayedCommand) {
	for _, target := range r.Targets {
		a.sendRelay(relayedCommand{Command: r.Command, Map: r.Map, ReplyTo: r.ReplyTo, Targets: []relayTarget{target}})
	}
	if r.Map != nil && !a.unpackMap(&r) {
		a.send(r.ReplyTo, message{CommandReply: &commandReply{ID: r.Command.ID, Reply: expert.ReplyLost, UnknownBase: true}})
		return
	}
	a.runForAgent(ctx, from, r.Command.Op, func(ctx context.Context) {
		result := a.sendCommand(ctx, a.settings.Engine, r.Command)
		a.send(r.ReplyTo, message{CommandReply: &result})
	})
}

// sendCommand sends a command to the engine at the address and returns its reply.
func (a *Agent) sendCommand(ctx context.Context, address string, c expert.Command) commandReply {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
	defer cancel()
	err := a.completeMap(ctx, address, &c)
	r := expert.ReplyLost
	if err == nil {
		r, err = a.sendWithRetries(ctx, address, c)
	}
	if err != nil {
		level.Info(a.logger).Log("msg", "order not answered", "op", c.Op, "rank", c.Rank, "version", c.Version, "step", c.Step, "fence", c.Fence, "error", err)
	} else if r != expert.ReplyDone {
		level.Info(a.logger).Log("msg", "order refused", "op", c.Op, "rank", c.Rank, "version", c.Version, "step", c.Step, "fence", c.Fence, "fenced", r == expert.ReplyFenced)
	}
	return commandReply{ID: c.ID, Reply: r}
}

// sendWithRetries sends a command to the engine at the address. In a deployment with coordinated admission it sends a prepare
// command to the local engine again until it is answered: all ranks wait for the last one to copy its experts, and the
// coordinator resends only after the time that maps take on its link. A command may be carried out late and repeatedly.
func (a *Agent) sendWithRetries(ctx context.Context, address string, c expert.Command) (r expert.Reply, err error) {
	a.mu.Lock()
	retries := a.group.Coordinated && c.Op == expert.OpPrepare && address == a.settings.Engine
	a.mu.Unlock()
	if !retries {
		return a.client.SendCommand(ctx, address, c)
	}
	for unanswered := 0; ; unanswered++ {
		try, cancel := context.WithTimeout(ctx, localPrepareTimeout.Duration())
		r, err = a.client.SendCommand(try, address, c)
		timedOut := errors.Is(try.Err(), context.DeadlineExceeded)
		cancel()
		switch {
		case err != nil && timedOut && ctx.Err() == nil:
			continue
		case err == nil && r == expert.ReplyRefused && unanswered > 0:
			return expert.ReplyLost, nil // an earlier try may be what the engine refuses to repeat
		}
		return r, err
	}
}

// completeMap sets the map of a command that needs any valid map: one for which the engine at the address copies nothing.
func (a *Agent) completeMap(ctx context.Context, address string, c *expert.Command) error {
	if c.Op != expert.OpPrepare || c.Map != nil {
		return nil
	}
	placement, err := a.client.Placement(ctx, address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	shape, ranks := a.group.Shape, len(a.group.Members)
	a.mu.Unlock()
	c.Map = shape.mapAround(ranks, c.Rank, placement.Sets)
	return nil
}

// mapAround returns a map in which the rank has the given experts by set, and the other ranks have the remaining ones in turn.
func (s Shape) mapAround(ranks, rank int, sets [][]int) expert.Map {
	m := make(expert.Map, len(sets))
	for set, own := range sets {
		m[set] = make([][]int, ranks)
		for r := range m[set] {
			m[set][r] = []int{}
		}
		m[set][rank] = own
		next := rank
		for e := range s.Experts {
			if slices.Contains(own, e) {
				continue
			}
			next = (next + 1) % ranks
			if next == rank {
				next = (next + 1) % ranks
			}
			m[set][next] = append(m[set][next], e)
		}
	}
	return m
}
