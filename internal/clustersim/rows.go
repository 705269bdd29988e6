package clustersim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// Limits of the platform and of a process.
const (
	maxPlatformCalls = 2000 // calls per second by all readers together
	maxProcessBytes  = 3000 // control traffic in bytes per second for each process
)

// Fleet sizes and push loss rates to simulate. For each figure, fittedRows fits a line over fleetSizes without smallFleet
// and extrapolates it to targetFleet.
var (
	fleetSizes    = []int{smallFleet, 40, 160, 320, 640}
	pushSizes     = []int{10, 100, 1000, 6000}
	pushLossRates = []float64{0, 0.01, 0.05}
)

const (
	smallFleet  = 9    // so small that every process reads the platform; the fitted lines leave it out
	targetFleet = 5900 // members
	zoneCount   = 6
	pushStarts  = 20 // pushes by graph and loss rate, each from a random member
)

// Rows measures how calls to the platform, traffic between processes and the reach of pushes grow with the fleet.
func Rows() (rows []measure.Row, err error) {
	defer func() { err = errors.Wrap(err, "measure spread") }()
	var all []fleetStats
	for _, size := range fleetSizes {
		f, failure := measureFleet(size)
		if failure != nil {
			return nil, failure
		}
		all = append(all, f)
	}
	rows = append(rows, callRows(all)...)
	rows = append(rows, trafficRows(all)...)
	return append(rows, pushRows()...), nil
}

// fleetStats contains the figures of one fleet.
type fleetStats struct {
	size int

	// Calls to the platform per second: startCalls is the peak after the start of all members, steadyCalls the mean in steady
	// state, outageCalls the mean during an outage of the platform, recoveryCalls the peak after the outage, and
	// replacementCalls the peak after the replacement of a region.
	startCalls, steadyCalls, outageCalls, recoveryCalls, replacementCalls float64

	// Traffic per second and process in steady state: bytes sent and received, and calls to peers.
	peerBytes, peerCalls float64

	// Bytes per process: ticketBytes for one ticket, changeBytes for one changed instance.
	ticketBytes, changeBytes float64
}

// Simulated time that measureFleet gives to each phase.
const (
	startSpan  = 20 * clock.Second
	steadySpan = clock.Minute
	outageSpan = 2 * clock.Minute
	updateSpan = 5 * clock.Second
)

// measureFleet runs one fleet through steady state, an outage and the replacement of a region.
func measureFleet(size int) (f fleetStats, err error) {
	c := NewCluster(size, zoneCount, 1)
	f.size = size
	if err = c.publishTicket(1); err != nil {
		return f, err
	}
	f.startCalls = c.peakCalls(startSpan)
	c.Run(steadySpan)
	f.peerBytes, f.peerCalls = c.perProcessTraffic(func() { f.steadyCalls, _ = c.MeasureCalls(steadySpan) }, steadySpan)
	if err = c.measureUpdates(&f); err != nil {
		return f, err
	}
	c.Platform.Down = true
	f.outageCalls, _ = c.MeasureCalls(outageSpan)
	c.Platform.Down = false
	f.recoveryCalls = c.peakCalls(startSpan)
	for n, i := range c.Platform.List.Instances {
		if i.Region == c.Platform.List.Instances[0].Region { // the seeds' region, so that the seeds restart without state too
			c.StartMember(n, i)
		}
	}
	f.replacementCalls = c.peakCalls(startSpan)
	return f, nil
}

// measureUpdates sets the bytes that one ticket and one changed instance cost each process beyond steady state.
//
// It passes a span of one second to perProcessTraffic to get bytes in total instead of per second.
func (c *Cluster) measureUpdates(f *fleetStats) (err error) {
	steady := f.peerBytes * float64(updateSpan) / float64(clock.Second)
	var failed error
	perUpdate, _ := c.perProcessTraffic(func() {
		failed = c.publishTicket(2)
		c.Run(updateSpan)
	}, clock.Second)
	f.ticketBytes = max(perUpdate-steady, 0)
	perUpdate, _ = c.perProcessTraffic(func() {
		l := *c.Platform.List
		l.Version++
		l.Instances = append(l.Instances[:0:0], l.Instances...)
		l.Instances[0].Service = "archive"
		c.Platform.List = &l
		c.Run(updateSpan)
	}, clock.Second)
	f.changeBytes = max(perUpdate-steady, 0)
	return failed
}

// peakCalls advances the clock by span and returns the peak number of calls to the platform per second.
func (c *Cluster) peakCalls(span clock.Span) float64 {
	_, peak := c.MeasureCalls(span)
	return float64(peak)
}

// perProcessTraffic returns the bytes and the calls to peers per second and process while run advances the clock by span.
func (c *Cluster) perProcessTraffic(run func(), span clock.Span) (bytes, calls float64) {
	beforeBytes, beforeCalls := c.totalTraffic()
	run()
	afterBytes, afterCalls := c.totalTraffic()
	scale := float64(clock.Second) / float64(span) / float64(len(c.Members))
	return float64(afterBytes-beforeBytes) * scale, float64(afterCalls-beforeCalls) * scale
}

// totalTraffic returns the bytes sent and received and the calls to peers by all members since their start.
func (c *Cluster) totalTraffic() (bytes, calls uint64) {
	for _, m := range c.Members {
		bytes += m.Counters.BytesSent.Load() + m.Counters.BytesReceived.Load()
		calls += m.Counters.PeerCalls.Load()
	}
	return bytes, calls
}

// publishTicket publishes a ticket of about a kilobyte.
func (c *Cluster) publishTicket(n ticket.Number) error {
	teams := make(map[string]*ticket.Team)
	for i := range 20 {
		teams[fmt.Sprintf("team-%02d", i)] = &ticket.Team{Share: float64(n), Priority: 5}
	}
	content, err := json.Marshal(ticket.Ticket{Number: n, Author: "ana", Objects: ticket.Objects{Teams: teams}})
	c.Platform.Publish(n, content)
	return errors.Wrap(err, "encode ticket")
}

// callRows returns the calls to the platform by fleet size.
func callRows(all []fleetStats) (rows []measure.Row) {
	rows = append(rows, fittedRows("calls.start", "calls/s", all, maxPlatformCalls, func(f fleetStats) float64 { return f.startCalls })...)
	rows = append(rows, fittedRows("calls.calm", "calls/s", all, maxPlatformCalls, func(f fleetStats) float64 { return f.steadyCalls })...)
	rows = append(rows, fittedRows("calls.outage", "calls/s", all, maxPlatformCalls, func(f fleetStats) float64 { return f.outageCalls })...)
	rows = append(rows, fittedRows("calls.return", "calls/s", all, maxPlatformCalls, func(f fleetStats) float64 { return f.recoveryCalls })...)
	return append(rows, fittedRows("calls.replaced", "calls/s", all, maxPlatformCalls, func(f fleetStats) float64 { return f.replacementCalls })...)
}

// trafficRows returns the messages between processes by fleet size, without transport overhead.
func trafficRows(all []fleetStats) (rows []measure.Row) {
	rows = append(rows, fittedRows("peers.bytes", "bytes/s each process", all, maxProcessBytes, func(f fleetStats) float64 { return f.peerBytes })...)
	rows = append(rows, fittedRows("peers.calls", "calls/s each process", all, 0, func(f fleetStats) float64 { return f.peerCalls })...)
	rows = append(rows, fittedRows("peers.ticket", "bytes each process and ticket", all, 0, func(f fleetStats) float64 { return f.ticketBytes })...)
	return append(rows, fittedRows("peers.change", "bytes each process and changed instance", all, 0, func(f fleetStats) float64 { return f.changeBytes })...)
}

// fittedRows returns rows for the value at each size, the line fitted through all but the smallest fleet, and the line's
// value at targetFleet; target is the upper bound of that value, 0 for none.
func fittedRows(name, unit string, all []fleetStats, target float64, value func(fleetStats) float64) (rows []measure.Row) {
	var sizes, values []float64
	for _, f := range all {
		rows = append(rows, measure.NoTarget(fmt.Sprintf("%s.%d", name, f.size), value(f), unit))
		if f.size > smallFleet {
			sizes = append(sizes, float64(f.size))
			values = append(values, value(f))
		}
	}
	line := measure.Fit(sizes, values)
	rows = append(rows,
		measure.NoTarget(name+".slope", line.Slope, unit+" each process more"),
		measure.NoTarget(name+".error", line.MaxError, "part of the value"))
	fitted := fmt.Sprintf("%s.%d.fitted", name, targetFleet)
	if target == 0 {
		return append(rows, measure.NoTarget(fitted, line.At(targetFleet), unit))
	}
	return append(rows, measure.AtMost(fitted, line.At(targetFleet), unit, target))
}

// pushRows returns the reach and delay of pushes alone; periodic exchanges reach the remaining members.
func pushRows() (rows []measure.Row) {
	for _, size := range pushSizes {
		g := NewGraph(NewInstanceList(1, size, zoneCount))
		for _, lossRate := range pushLossRates {
			rows = append(rows, g.rows(lossRate)...)
		}
	}
	return rows
}

// rows returns the worst reach, hops and delay of pushStarts pushes from random members.
func (g *Graph) rows(lossRate float64) []measure.Row {
	random := rand.New(rand.NewPCG(1, 2))
	worst := PushResult{Reached: len(g.Edges)}
	for range pushStarts {
		result := g.Push(random.IntN(len(g.Edges)), lossRate, random)
		worst.Reached = min(worst.Reached, result.Reached)
		worst.Hops = max(worst.Hops, result.Hops)
		worst.LastMs = max(worst.LastMs, result.LastMs)
	}
	name := fmt.Sprintf("push.%d.loss%g%%", len(g.Edges), lossRate*100)
	return []measure.Row{
		measure.NoTarget(name+".rounds", float64(worst.Hops), "pushes in a row"),
		measure.NoTarget(name+".last", worst.LastMs, "ms"),
		measure.NoTarget(name+".missed", float64(len(g.Edges)-worst.Reached), "members"),
	}
}
