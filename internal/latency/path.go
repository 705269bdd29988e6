package latency

import (
	"os"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

// Parameters of the measurement of the path.
const (
	warmupSpan      = 2 * clock.Second
	fullLoadSpan    = 4 * clock.Second
	sliceSpan       = 1 * clock.Second // direct calls and calls through the path alternate in slices of this length
	sliceCount      = 8
	fullLoadWorkers = 64
	pacedWorkers    = 64
	streamRate      = 100.0 // streams per second
	busyRate        = 800.0 // streams per second when the processor time per event is measured
	streamTokens    = 16    // events per stream
	lightRate       = 200.0 // plain calls per second, far below full load
	halfLoad        = 0.5   // of the rate at full load
)

// Targets for the latency that the path adds.
const (
	medianTargetMs = 0.5
	tailTargetMs   = 2.0 // at p99
)

// coreLimitVariable is the environment variable that limits the cores of the entry's Go runtime.
const coreLimitVariable = "GOMAXPROCS"

// pathRows measures one entry on one core with two agents of each kind.
func pathRows() (rows []measure.Row, err error) {
	f, err := openFleet(fleet.Plan{Zones: []string{zoneName}, Entries: 1, Services: []fleet.Service{
		{Name: modelService, Kind: fleet.EngineKind, Count: 2},
		{Name: plainService, Kind: fleet.PlainKind, Count: 2},
	}})
	defer f.close()
	if err != nil {
		return nil, err
	}
	if err := f.startOnOneCore(); err != nil {
		return nil, err
	}
	rows, err = f.plainRows()
	if err != nil {
		return nil, err
	}
	more, err := f.streamRows()
	return append(rows, more...), err
}

// startOnOneCore starts the agents, then the entry with one core.
func (f *measuredFleet) startOnOneCore() error {
	for _, p := range f.Agents {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := os.Setenv(coreLimitVariable, "1"); err != nil {
		return err
	}
	defer func() { _ = os.Unsetenv(coreLimitVariable) }()
	return f.Entries[0].Start()
}

// entryTarget returns the target for calls to a service through the entry.
func (f *measuredFleet) entryTarget(service, path string) target {
	return target{url: "http://" + f.Entries[0].Settings.Listen + "/v1/call/" + service + path, viaEntry: true, finalEvent: "final"}
}

// plainRows measures plain calls: the entry's rate at full load, and the latency that the path adds at half of it.
func (f *measuredFleet) plainRows() (rows []measure.Row, err error) {
	path := f.entryTarget(plainService, "/correction").plainSender("path")
	direct := target{url: f.Plains[f.plainAgent()].URL() + "/correction"}.plainSender("direct")
	if err := waitReady(path); err != nil {
		return nil, err
	}
	loadGenerator{workers: fullLoadWorkers, span: warmupSpan}.run(path)
	var full result
	used, err := measureUsage([]*fleet.Process{f.Entries[0]}, func() error {
		full = loadGenerator{workers: fullLoadWorkers, span: fullLoadSpan}.run(path)
		return nil
	})
	if err != nil {
		return nil, err
	}
	l := loadGenerator{workers: pacedWorkers, rate: halfLoad * full.rate(), span: sliceSpan}
	pair, err := f.compare(l, direct, path)
	if err != nil {
		return nil, err
	}
	rows = []measure.Row{
		measure.NoTarget("path.plain.rate", full.rate(), "requests/s with the entry on one core"),
		measure.NoTarget("path.plain.core", float64(full.latencies.TotalCount())/used[0].cpuSeconds, "requests/s of the entry's processor time"),
	}
	rows = append(rows, pair.rows("path.plain")...)
	light := l
	light.rate = lightRate
	more, err := f.overheadRows("path.plain.light", light, direct, path)
	if err != nil {
		return nil, err
	}
	rows = append(rows, more...)
	if err := f.restartEntryOnAllCores(path); err != nil {
		return nil, err
	}
	more, err = f.overheadRows("path.plain.cores", l, direct, path)
	return append(rows, more...), err
}

// overheadRows measures only the latency that the path adds.
func (f *measuredFleet) overheadRows(name string, l loadGenerator, direct, path sendFunc) ([]measure.Row, error) {
	p, err := f.compare(l, direct, path)
	if err != nil {
		return nil, err
	}
	return []measure.Row{
		measure.NoTarget(name+".offered", p.path.rate(), "requests/s"),
		measure.NoTarget(name+".added.p50", p.path.percentile(50)-p.direct.percentile(50), "ms"),
		measure.NoTarget(name+".added.p99", p.path.percentile(99)-p.direct.percentile(99), "ms"),
	}, nil
}

// restartEntryOnAllCores restarts the entry without the limit to one core.
func (f *measuredFleet) restartEntryOnAllCores(path sendFunc) error {
	if err := f.Entries[0].Kill(); err != nil {
		return err
	}
	if err := f.Entries[0].Start(); err != nil {
		return err
	}
	return waitReady(path)
}

// plainAgent returns the name of the agent whose plain service is called directly.
func (f *measuredFleet) plainAgent() string {
	return plainService + "-1"
}

// streamRows measures the time to the first event of streamed calls and the cost of an event.
func (f *measuredFleet) streamRows() ([]measure.Row, error) {
	for _, e := range f.Engines {
		e.SetFault(func(f *standin.EngineFault) { f.Interval = clock.Millisecond })
	}
	path := f.entryTarget(modelService, "/").streamSender("path")
	direct := target{url: f.Engines[modelService+"-1"].URL() + "/generate", finalEvent: "end"}.streamSender("direct")
	if err := waitReady(path); err != nil {
		return nil, err
	}
	pair, err := f.compare(loadGenerator{workers: pacedWorkers, rate: streamRate, span: sliceSpan}, direct, path)
	if err != nil {
		return nil, err
	}
	busy, err := f.compare(loadGenerator{workers: pacedWorkers, rate: busyRate, span: sliceSpan}, direct, path)
	if err != nil {
		return nil, err
	}
	return append(pair.rows("path.stream"), busy.eventRows("path.events")...), nil
}

// eventRows returns the processor time per stream event while many streams run.
func (p comparison) eventRows(name string) []measure.Row {
	events := float64(p.path.latencies.TotalCount()) * streamTokens
	return []measure.Row{
		measure.NoTarget(name+".rate", p.path.rate()*streamTokens, "events/s"),
		measure.NoTarget(name+".entry.processor", p.entryUsage.cpuSeconds/events*microsecondsPerSecond, "us/event"),
		measure.NoTarget(name+".agent.processor", p.agentUsage.cpuSeconds/events*microsecondsPerSecond, "us/event"),
		measure.NoTarget(name+".failed", float64(p.path.failures), "requests"),
	}
}

// comparison is the measurements of direct calls and of calls through the path under the same load.
type comparison struct {
	direct, path           result
	entryUsage, agentUsage usage // during calls through the path
}

// compare alternates direct calls and calls through the path under the same load.
func (f *measuredFleet) compare(l loadGenerator, direct, path sendFunc) (p comparison, err error) {
	p = comparison{direct: newResult(), path: newResult()}
	for range sliceCount {
		p.direct.merge(l.run(direct))
		used, err := measureUsage(f.Processes(), func() error {
			p.path.merge(l.run(path))
			return nil
		})
		if err != nil {
			return p, err
		}
		for i, u := range used {
			sum := &p.agentUsage
			if f.Processes()[i].Role == fleet.Entry {
				sum = &p.entryUsage
			}
			sum.cpuSeconds += u.cpuSeconds
			sum.allocatedBytes += u.allocatedBytes
		}
	}
	return p, nil
}

func (p comparison) rows(name string) []measure.Row {
	count := float64(p.path.latencies.TotalCount())
	return []measure.Row{
		measure.NoTarget(name+".offered", p.path.rate(), "requests/s"),
		measure.NoTarget(name+".direct.p50", p.direct.percentile(50), "ms"),
		measure.NoTarget(name+".direct.p99", p.direct.percentile(99), "ms"),
		measure.NoTarget(name+".p50", p.path.percentile(50), "ms"),
		measure.NoTarget(name+".p99", p.path.percentile(99), "ms"),
		measure.AtMost(name+".added.p50", p.path.percentile(50)-p.direct.percentile(50), "ms", medianTargetMs),
		measure.AtMost(name+".added.p99", p.path.percentile(99)-p.direct.percentile(99), "ms", tailTargetMs),
		measure.NoTarget(name+".entry.allocated", p.entryUsage.allocatedBytes/count, "bytes/request"),
		measure.NoTarget(name+".agent.allocated", p.agentUsage.allocatedBytes/count, "bytes/request"),
		measure.NoTarget(name+".entry.processor", p.entryUsage.cpuSeconds/count*microsecondsPerSecond, "us/request"),
		measure.NoTarget(name+".agent.processor", p.agentUsage.cpuSeconds/count*microsecondsPerSecond, "us/request"),
		measure.AtMost(name+".failed", float64(p.path.failures+p.direct.failures), "requests", 0),
	}
}

const microsecondsPerSecond = 1e6
