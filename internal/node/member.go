package node

import (
	"context"
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/gossip"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

// newMember returns the membership of n, connected to the platform's services and to the other processes.
func newMember(n *Node) *gossip.Member {
	s := n.Settings
	return gossip.New(gossip.Options{
		Self:           platform.Instance{Name: s.Name, Peer: s.Peer, Zone: s.Zone, Region: s.Region},
		Seeds:          s.Seeds,
		GossipInterval: s.Timing.GossipInterval,
		SettleDelay:    s.Timing.SettleDelay,
		SealDelay:      s.Timing.SealDelay,
		StartupSpread:  gossip.DefaultStartupSpread,
		EvidenceTTL:    s.Timing.Quarantine,
		Reader:         countCalls(platform.NewReader(s.Platform.Tickets, s.Platform.List), n.Telemetry.Metrics),
		SyncPeer: func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			conn, err := n.Pool.Conn(address)
			if err != nil {
				return nil, err
			}
			return peerpb.NewPeerClient(conn).Sync(ctx, q)
		},
		Clock:    n.Clock,
		Random:   rand.Float64,
		OnUpdate: n.notifyRole,
		Log:      n.Telemetry.Logger,
	})
}

// Status returns the part of the status that is common to all roles.
func (n *Node) Status(role string) operator.Status {
	now := n.Clock.Now()
	state := n.Member.State()
	tickets := n.Member.Tickets()
	s := operator.Status{
		Name:        n.Settings.Name,
		Role:        role,
		Zone:        n.Settings.Zone,
		Uptime:      clock.Span(now),
		Number:      uint64(state.Number),
		Hash:        fmt.Sprintf("%016x", state.Hash),
		Age:         n.stateAge(),
		ListVersion: n.Member.List().Version,
	}
	if number, missingFor, ok := tickets.Missing(now); ok {
		s.Missing = &operator.MissingTicket{Number: uint64(number), MissingFor: missingFor}
	}
	for _, c := range tickets.Conflicts(now) {
		s.Conflicts = append(s.Conflicts, uint64(c.Number))
	}
	for _, k := range state.Skipped {
		s.Skipped = append(s.Skipped, operator.SkippedTicket{Number: uint64(k.Number), Reason: k.Reason})
	}
	return s
}

// stateAge returns the time in ms since the current configuration state took effect; it restarts the timer if the state
// has changed.
func (n *Node) stateAge() clock.Span {
	state := n.Member.State()
	return n.stateTimer.age(n.Clock.Now(), state.Number, state.Hash)
}

// State returns the configuration state in force as JSON.
func (n *Node) State() ([]byte, error) {
	return n.Member.State().Snapshot()
}
