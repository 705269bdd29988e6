package latency

import (
	"os"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

// Sizes of the measurement of the path.
const (
	warmSpan     = 2 * clock.Second
	fullSpan     = 4 * clock.Second
	sliceSpan    = 1 * clock.Second // direct and path take turns
	slices       = 8
	fullWorkers  = 64
	halfWorkers  = 64
	streamRate   = 100.0 // streams a second
	busyRate     = 800.0 // streams a second where the cost of an event is taken
	streamTokens = 16    // events of one stream
	lightRate    = 200.0 // plain calls a second, far from full load
	half         = 0.5
)

// Targets of the path.
const (
	medianTarget = 0.5 // ms added
	tailTarget   = 2.0 // ms added at p99
)

// oneCore is the setting of the entry's Go runtime that gives it one core.
const oneCore = "GOMAXPROCS"

// pathRows measures one entry on one core with two agents of each kind.
func pathRows() (rows []measure.Row, err error) {
	b, err := open(fleet.Plan{Zones: []string{zoneName}, Entries: 1, Services: []fleet.Service{
		{Name: modelService, Kind: fleet.EngineKind, Count: 2},
		{Name: plainService, Kind: fleet.PlainKind, Count: 2},
	}})
	defer b.close()
	if err != nil {
		return nil, err
	}
	if err := b.startOnOneCore(); err != nil {
		return nil, err
	}
	rows, err = b.plainRows()
	if err != nil {
		return nil, err
	}
	more, err := b.streamRows()
	return append(rows, more...), err
}

// startOnOneCore starts the agents, then the entry with one core.
func (b *bench) startOnOneCore() error {
	for _, p := range b.Agents {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := os.Setenv(oneCore, "1"); err != nil {
		return err
	}
	defer func() { _ = os.Unsetenv(oneCore) }()
	return b.Entries[0].Start()
}

// way returns the way to a service through the entry.
func (b *bench) way(service, path string) target {
	return target{url: "http://" + b.Entries[0].Settings.Listen + "/v1/call/" + service + path, entry: true, final: "final"}
}

// plainRows measures plain calls: at full load the entry's rate, at half of it what the path adds.
func (b *bench) plainRows() (rows []measure.Row, err error) {
	path := b.way(plainService, "/correction").plain("path")
	direct := target{url: b.Plains[b.plainAgent()].URL() + "/correction"}.plain("direct")
	if err := answers(path); err != nil {
		return nil, err
	}
	load{workers: fullWorkers, span: warmSpan}.run(path)
	var full result
	used, err := use([]*fleet.Process{b.Entries[0]}, func() error {
		full = load{workers: fullWorkers, span: fullSpan}.run(path)
		return nil
	})
	if err != nil {
		return nil, err
	}
	l := load{workers: halfWorkers, rate: half * full.rate(), span: sliceSpan}
	pair, err := b.sideBySide(l, direct, path)
	if err != nil {
		return nil, err
	}
	rows = []measure.Row{
		measure.NoTarget("path.plain.rate", full.rate(), "requests/s with the entry on one core"),
		measure.NoTarget("path.plain.core", float64(full.times.TotalCount())/used[0].processor, "requests/s of the entry's processor time"),
	}
	rows = append(rows, pair.rows("path.plain")...)
	light := l
	light.rate = lightRate
	more, err := b.addedRows("path.plain.light", light, direct, path)
	if err != nil {
		return nil, err
	}
	rows = append(rows, more...)
	if err := b.freeEntry(path); err != nil {
		return nil, err
	}
	more, err = b.addedRows("path.plain.cores", l, direct, path)
	return append(rows, more...), err
}

// addedRows measures only what the path adds, under another load or with another entry.
func (b *bench) addedRows(name string, l load, direct, path request) ([]measure.Row, error) {
	p, err := b.sideBySide(l, direct, path)
	if err != nil {
		return nil, err
	}
	return []measure.Row{
		measure.NoTarget(name+".offered", p.path.rate(), "requests/s"),
		measure.NoTarget(name+".added.p50", p.path.quantile(50)-p.direct.quantile(50), "ms"),
		measure.NoTarget(name+".added.p99", p.path.quantile(99)-p.direct.quantile(99), "ms"),
	}, nil
}

// freeEntry starts the entry again with all cores.
func (b *bench) freeEntry(path request) error {
	if err := b.Entries[0].Kill(); err != nil {
		return err
	}
	if err := b.Entries[0].Start(); err != nil {
		return err
	}
	return answers(path)
}

// plainAgent returns the name of the agent whose plain service is called directly.
func (b *bench) plainAgent() string {
	return plainService + "-1"
}

// streamRows measures the first event of streamed calls.
func (b *bench) streamRows() ([]measure.Row, error) {
	for _, e := range b.Engines {
		e.SetFault(func(f *standin.EngineFault) { f.Interval = clock.Millisecond })
	}
	path := b.way(modelService, "/").stream("path")
	direct := target{url: b.Engines[modelService+"-1"].URL() + "/generate", final: "end"}.stream("direct")
	if err := answers(path); err != nil {
		return nil, err
	}
	pair, err := b.sideBySide(load{workers: halfWorkers, rate: streamRate, span: sliceSpan}, direct, path)
	if err != nil {
		return nil, err
	}
	busy, err := b.sideBySide(load{workers: halfWorkers, rate: busyRate, span: sliceSpan}, direct, path)
	if err != nil {
		return nil, err
	}
	return append(pair.rows("path.stream"), busy.eventRows("path.events")...), nil
}

// eventRows tells what one event of a stream costs while many streams run.
func (p pair) eventRows(name string) []measure.Row {
	events := float64(p.path.times.TotalCount()) * streamTokens
	return []measure.Row{
		measure.NoTarget(name+".rate", p.path.rate()*streamTokens, "events/s"),
		measure.NoTarget(name+".entry.processor", p.entry.processor/events*microseconds, "us/event"),
		measure.NoTarget(name+".agent.processor", p.agent.processor/events*microseconds, "us/event"),
		measure.NoTarget(name+".failed", float64(p.path.failed), "requests"),
	}
}

// pair is what the two ways found side by side.
type pair struct {
	direct, path result
	entry, agent usage // over the slices of the path
}

// sideBySide lets the two ways take turns under the same load.
func (b *bench) sideBySide(l load, direct, path request) (p pair, err error) {
	p = pair{direct: newResult(), path: newResult()}
	for range slices {
		p.direct.add(l.run(direct))
		used, err := use(b.Processes(), func() error {
			p.path.add(l.run(path))
			return nil
		})
		if err != nil {
			return p, err
		}
		for i, u := range used {
			sum := &p.agent
			if b.Processes()[i].Role == fleet.Entry {
				sum = &p.entry
			}
			sum.processor += u.processor
			sum.allocated += u.allocated
		}
	}
	return p, nil
}

func (p pair) rows(name string) []measure.Row {
	count := float64(p.path.times.TotalCount())
	return []measure.Row{
		measure.NoTarget(name+".offered", p.path.rate(), "requests/s"),
		measure.NoTarget(name+".direct.p50", p.direct.quantile(50), "ms"),
		measure.NoTarget(name+".direct.p99", p.direct.quantile(99), "ms"),
		measure.NoTarget(name+".p50", p.path.quantile(50), "ms"),
		measure.NoTarget(name+".p99", p.path.quantile(99), "ms"),
		measure.AtMost(name+".added.p50", p.path.quantile(50)-p.direct.quantile(50), "ms", medianTarget),
		measure.AtMost(name+".added.p99", p.path.quantile(99)-p.direct.quantile(99), "ms", tailTarget),
		measure.NoTarget(name+".entry.allocated", p.entry.allocated/count, "bytes/request"),
		measure.NoTarget(name+".agent.allocated", p.agent.allocated/count, "bytes/request"),
		measure.NoTarget(name+".entry.processor", p.entry.processor/count*microseconds, "us/request"),
		measure.NoTarget(name+".agent.processor", p.agent.processor/count*microseconds, "us/request"),
		measure.AtMost(name+".failed", float64(p.path.failed+p.direct.failed), "requests", 0),
	}
}

// microseconds in a second.
const microseconds = 1e6
