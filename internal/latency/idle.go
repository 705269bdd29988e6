package latency

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

// Size of the idle fleet, as in production, and spans of the measurement.
const (
	idleEntries = 6
	idleEngines = 16
	idlePlains  = 3
	settleSpan  = 5 * clock.Second
	idleSpan    = 10 * clock.Second
)

// Targets for an idle process.
const (
	residentTargetMB = 32.0
	cpuTargetPercent = 4.2 // of one core
	trafficTargetKB  = 3.0 // KB per second and process
)

const (
	megabyte = 1e6 // bytes
	kilobyte = 1e3 // bytes
	percent  = 100 // percent of a whole core
)

// idleRows measures processes without requests, whose control traffic passes through counting proxies.
func idleRows() (rows []measure.Row, err error) {
	peers, platform := newCountingProxies(), newCountingProxies()
	defer func() { err = errors.CombineErrors(err, errors.CombineErrors(peers.close(), platform.close())) }()
	f, err := openFleet(fleet.Plan{
		Zones: []string{"lima-a", "lima-b", "lima-c"}, Entries: idleEntries,
		Services: []fleet.Service{
			{Name: modelService, Kind: fleet.EngineKind, Count: idleEngines},
			{Name: plainService, Kind: fleet.PlainKind, Count: idlePlains},
		},
		ProxyAddress: func(l fleet.Link, address string) (string, error) {
			switch l.Kind {
			case fleet.PeerLink:
				return peers.proxyTo(address)
			case fleet.TicketLink, fleet.ListLink:
				return platform.proxyTo(address)
			}
			return address, nil
		},
	})
	defer f.close()
	if err != nil {
		return nil, err
	}
	if err := f.Start(context.Background()); err != nil {
		return nil, err
	}
	standin.Sleep(context.Background(), settleSpan)
	peerBytes, platformBytes := peers.bytes.Load(), platform.bytes.Load()
	used, err := measureUsage(f.Processes(), func() error {
		standin.Sleep(context.Background(), idleSpan)
		return nil
	})
	if err != nil {
		return nil, err
	}
	peerRate := kilobytesPerSecond(peers.bytes.Load()-peerBytes, len(used))
	platformRate := kilobytesPerSecond(platform.bytes.Load()-platformBytes, len(used))
	rows = append(rows, roleRows("idle.entry", used[:idleEntries])...)
	rows = append(rows, roleRows("idle.agent", used[idleEntries:])...)
	return append(rows,
		measure.NoTarget("idle.traffic.peer", peerRate, "KB/s a process, each byte once"),
		measure.NoTarget("idle.traffic.platform", platformRate, "KB/s a process"),
		measure.AtMost("idle.traffic", peerRate+platformRate, "KB/s a process, each byte once", trafficTargetKB)), nil
}

// kilobytesPerSecond returns the mean traffic per process over idleSpan.
func kilobytesPerSecond(bytes uint64, processes int) float64 {
	return float64(bytes) / kilobyte / idleSpan.Duration().Seconds() / float64(processes)
}

// roleRows returns the highest usage among processes of one role.
func roleRows(name string, used []usage) []measure.Row {
	highest := usage{}
	for _, u := range used {
		highest.cpuSeconds = max(highest.cpuSeconds, u.cpuSeconds)
		highest.residentBytes = max(highest.residentBytes, u.residentBytes)
	}
	share := highest.cpuSeconds / idleSpan.Duration().Seconds() * percent
	return []measure.Row{
		measure.AtMost(name+".resident", highest.residentBytes/megabyte, "MB", residentTargetMB),
		measure.AtMost(name+".processor", share, "% of a core", cpuTargetPercent),
	}
}
