package spread

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// What the platform and a process bear.
const (
	serviceRate  = 2000 // calls a second from all readers
	processBytes = 3000 // bytes a second of control for each process
)

// Sizes of the fleet that are measured, and the one that they are worked out for.
var (
	fleetSizes = []int{smallFleet, 40, 160, 320, 640}
	floodSizes = []int{10, 100, 1000, 6000}
	floodLoss  = []float64{0, 0.01, 0.05}
)

const (
	smallFleet  = 9 // every process of which is a reader, so that it stands beside the line
	targetFleet = 5900
	zones       = 6
	starts      = 20 // members that news starts from in turn
)

// Rows measures how calls to the platform, bytes between processes and the reach of news grow with the fleet.
func Rows() (rows []measure.Row, err error) {
	defer func() { err = errors.Wrap(err, "measure spread") }()
	var all []figures
	for _, size := range fleetSizes {
		f, failed := fleetFigures(size)
		if failed != nil {
			return nil, failed
		}
		all = append(all, f)
	}
	rows = append(rows, callRows(all)...)
	rows = append(rows, byteRows(all)...)
	return append(rows, floodRows()...), nil
}

// figures are what one fleet showed.
type figures struct {
	size int

	cold, calm, down, back, replaced float64 // calls to the platform a second: all start, calm, outage, its end, a region replaced
	bytes, exchanges                 float64 // sent and received a second by one process in calm, and calls to peers
	ticket, change                   float64 // bytes for one process of one ticket and of one changed instance
}

const (
	startSpan = 20 * clock.Second
	calmSpan  = clock.Minute
	downSpan  = 2 * clock.Minute
	newsSpan  = 5 * clock.Second
)

// fleetFigures runs one fleet through calm, an outage and the replacement of a region.
func fleetFigures(size int) (f figures, err error) {
	w := NewWorld(size, zones, 1)
	f.size = size
	if err = w.publish(1); err != nil {
		return f, err
	}
	f.cold = w.most(startSpan)
	w.Run(calmSpan)
	f.bytes, f.exchanges = w.perProcess(func() { f.calm, _ = w.CallsIn(calmSpan) }, calmSpan)
	if err = w.news(&f); err != nil {
		return f, err
	}
	w.Service.Down = true
	f.down, _ = w.CallsIn(downSpan)
	w.Service.Down = false
	f.back = w.most(startSpan)
	for n, i := range w.Service.List.Instances {
		if i.Region == w.Service.List.Instances[0].Region { // that of the seeds, so that they are cold too
			w.Start(n, i)
		}
	}
	f.replaced = w.most(startSpan)
	return f, nil
}

// news measures what one ticket and one change of the list cost each process above calm.
func (w *World) news(f *figures) (err error) {
	calm := f.bytes * float64(newsSpan) / float64(clock.Second)
	var failed error
	second, _ := w.perProcess(func() {
		failed = w.publish(2)
		w.Run(newsSpan)
	}, clock.Second)
	f.ticket = max(second-calm, 0)
	second, _ = w.perProcess(func() {
		l := *w.Service.List
		l.Version++
		l.Instances = append(l.Instances[:0:0], l.Instances...)
		l.Instances[0].Service = "archive"
		w.Service.List = &l
		w.Run(newsSpan)
	}, clock.Second)
	f.change = max(second-calm, 0)
	return failed
}

// most returns the most calls to the platform in any second of a span.
func (w *World) most(span clock.Span) float64 {
	_, most := w.CallsIn(span)
	return float64(most)
}

// perProcess returns the bytes and the calls to peers a second of one process while something runs for a span.
func (w *World) perProcess(run func(), span clock.Span) (bytes, exchanges float64) {
	beforeBytes, beforeCalls := w.traffic()
	run()
	afterBytes, afterCalls := w.traffic()
	scale := float64(clock.Second) / float64(span) / float64(len(w.Members))
	return float64(afterBytes-beforeBytes) * scale, float64(afterCalls-beforeCalls) * scale
}

// traffic returns the bytes sent and received and the calls to peers of all members since their start.
func (w *World) traffic() (bytes, calls uint64) {
	for _, m := range w.Members {
		bytes += m.Counters.Sent.Load() + m.Counters.Received.Load()
		calls += m.Counters.Exchanges.Load()
	}
	return bytes, calls
}

// publish puts a ticket of about a kilobyte at the platform.
func (w *World) publish(n ticket.Number) error {
	teams := make(map[string]*ticket.Team)
	for i := range 20 {
		teams[fmt.Sprintf("team-%02d", i)] = &ticket.Team{Share: float64(n), Priority: 5}
	}
	content, err := json.Marshal(ticket.Ticket{Number: n, Author: "ana", Objects: ticket.Objects{Teams: teams}})
	w.Service.Publish(n, content)
	return errors.Wrap(err, "encode ticket")
}

// callRows are the calls to the platform against the fleet's size.
func callRows(all []figures) (rows []measure.Row) {
	rows = append(rows, series("calls.start", "calls/s", all, serviceRate, func(f figures) float64 { return f.cold })...)
	rows = append(rows, series("calls.calm", "calls/s", all, serviceRate, func(f figures) float64 { return f.calm })...)
	rows = append(rows, series("calls.outage", "calls/s", all, serviceRate, func(f figures) float64 { return f.down })...)
	rows = append(rows, series("calls.return", "calls/s", all, serviceRate, func(f figures) float64 { return f.back })...)
	return append(rows, series("calls.replaced", "calls/s", all, serviceRate, func(f figures) float64 { return f.replaced })...)
}

// byteRows are the messages between processes against the fleet's size, without the transport's own bytes.
func byteRows(all []figures) (rows []measure.Row) {
	rows = append(rows, series("peers.bytes", "bytes/s each process", all, processBytes, func(f figures) float64 { return f.bytes })...)
	rows = append(rows, series("peers.calls", "calls/s each process", all, 0, func(f figures) float64 { return f.exchanges })...)
	rows = append(rows, series("peers.ticket", "bytes each process and ticket", all, 0, func(f figures) float64 { return f.ticket })...)
	return append(rows, series("peers.change", "bytes each process and changed instance", all, 0, func(f figures) float64 { return f.change })...)
}

// series returns a row for each size, the line through all but the small one, and its value for the target fleet.
func series(name, unit string, all []figures, target float64, value func(figures) float64) (rows []measure.Row) {
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

// floodRows are the reach and delay of pushes alone, which exchanges then complete.
func floodRows() (rows []measure.Row) {
	for _, size := range floodSizes {
		g := NewGraph(Fleet(1, size, zones))
		for _, loss := range floodLoss {
			rows = append(rows, g.rows(loss)...)
		}
	}
	return rows
}

// rows are the worst of several starts.
func (g *Graph) rows(loss float64) []measure.Row {
	random := rand.New(rand.NewPCG(1, 2))
	worst := Flood{Reached: len(g.Edges)}
	for range starts {
		f := g.Push(random.IntN(len(g.Edges)), loss, random)
		worst.Reached = min(worst.Reached, f.Reached)
		worst.Rounds = max(worst.Rounds, f.Rounds)
		worst.Last = max(worst.Last, f.Last)
	}
	name := fmt.Sprintf("push.%d.loss%g%%", len(g.Edges), loss*100)
	return []measure.Row{
		measure.NoTarget(name+".rounds", float64(worst.Rounds), "pushes in a row"),
		measure.NoTarget(name+".last", worst.Last, "ms"),
		measure.NoTarget(name+".missed", float64(len(g.Edges)-worst.Reached), "members"),
	}
}
