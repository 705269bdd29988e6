package latency

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

// Sizes of the idle fleet: those of the paper today.
const (
	idleEntries = 6
	idleEngines = 16
	idlePlains  = 3
	settleSpan  = 5 * clock.Second
	idleSpan    = 10 * clock.Second
)

// Targets of an idle process.
const (
	residentTarget  = 32.0 // MB
	processorTarget = 4.2  // percent of a core
	trafficTarget   = 3.0  // KB a second
)

const (
	megabyte = 1e6
	kilobyte = 1e3
	percent  = 100
)

// idleRows measures processes without requests, whose control traffic passes relays that count it.
func idleRows() (rows []measure.Row, err error) {
	peers, platform := newRelays(), newRelays()
	defer func() { err = errors.CombineErrors(err, errors.CombineErrors(peers.close(), platform.close())) }()
	b, err := open(fleet.Plan{
		Zones: []string{"lima-a", "lima-b", "lima-c"}, Entries: idleEntries,
		Services: []fleet.Service{
			{Name: modelService, Kind: fleet.EngineKind, Count: idleEngines},
			{Name: plainService, Kind: fleet.PlainKind, Count: idlePlains},
		},
		Wire: func(l fleet.Link, address string) (string, error) {
			switch l.Kind {
			case fleet.PeerLink:
				return peers.to(address)
			case fleet.TicketLink, fleet.ListLink:
				return platform.to(address)
			}
			return address, nil
		},
	})
	defer b.close()
	if err != nil {
		return nil, err
	}
	if err := b.Start(context.Background()); err != nil {
		return nil, err
	}
	standin.Sleep(context.Background(), settleSpan)
	peerBytes, platformBytes := peers.bytes.Load(), platform.bytes.Load()
	used, err := use(b.Processes(), func() error {
		standin.Sleep(context.Background(), idleSpan)
		return nil
	})
	if err != nil {
		return nil, err
	}
	peerRate := rate(peers.bytes.Load()-peerBytes, len(used))
	platformRate := rate(platform.bytes.Load()-platformBytes, len(used))
	rows = append(rows, idleRole("idle.entry", used[:idleEntries])...)
	rows = append(rows, idleRole("idle.agent", used[idleEntries:])...)
	return append(rows,
		measure.NoTarget("idle.traffic.peer", peerRate, "KB/s a process, each byte once"),
		measure.NoTarget("idle.traffic.platform", platformRate, "KB/s a process"),
		measure.AtMost("idle.traffic", peerRate+platformRate, "KB/s a process, each byte once", trafficTarget)), nil
}

// rate returns KB a second for each process over the idle span.
func rate(bytes uint64, processes int) float64 {
	return float64(bytes) / kilobyte / idleSpan.Duration().Seconds() / float64(processes)
}

// idleRole returns the highest figures among processes of one role.
func idleRole(name string, used []usage) []measure.Row {
	highest := usage{}
	for _, u := range used {
		highest.processor = max(highest.processor, u.processor)
		highest.resident = max(highest.resident, u.resident)
	}
	share := highest.processor / idleSpan.Duration().Seconds() * percent
	return []measure.Row{
		measure.AtMost(name+".resident", highest.resident/megabyte, "MB", residentTarget),
		measure.AtMost(name+".processor", share, "% of a core", processorTarget),
	}
}
