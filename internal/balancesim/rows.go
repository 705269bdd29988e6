package balancesim

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// seeds are the random seeds of a scenario's runs, whose statistics are merged.
var seeds = []uint64{1, 2, 3}

// scenario is a named fleet to simulate.
type scenario struct {
	name   string
	config fleetConfig
	seeds  []uint64
}

// scenarios are a fleet of production size and one so large that each entry knows only a subset.
var scenarios = []scenario{
	{
		name:   "choice.16",
		config: fleetConfig{servers: 16, entries: 6, subsetSize: 320, prefixes: 64, rate: 90, warmup: simTime(10 * clock.Second), arrivalEnd: simTime(60 * clock.Second)},
		seeds:  seeds,
	},
	{
		name:   "choice.subset320",
		config: fleetConfig{servers: 640, entries: 24, subsetSize: 320, prefixes: 2560, rate: 3600, warmup: simTime(8 * clock.Second), arrivalEnd: simTime(16 * clock.Second)},
		seeds:  seeds[:1],
	},
}

// namedPolicy is a policy with its name in printed rows.
type namedPolicy struct {
	name string
	pick policy
}

// productionName is the name of the production policy in printed rows.
const productionName = "power"

var policies = []namedPolicy{
	{name: "roundrobin", pick: roundRobin},
	{name: "leastoutstanding", pick: leastOutstanding},
	{name: "rendezvous", pick: rendezvous},
	{name: productionName, pick: productionPolicy(balance.DefaultPickerConfig())},
	{name: "noevents", pick: withoutCacheEvents(productionPolicy(balance.DefaultPickerConfig()))},
}

// Rows simulates the picking of backend servers, the teams' shares and overload, and returns a row for each figure.
func Rows() ([]measure.Row, error) {
	var rows []measure.Row
	for _, s := range scenarios {
		rows = append(rows, choiceRows(s)...)
	}
	rows = append(rows, shareRows()...)
	return append(rows, overloadRows()...), nil
}

// runSeeds returns the merged statistics of one policy over all seeds of a scenario.
func runSeeds(s scenario, pick policy) *stats {
	sum := newStats()
	for _, seed := range s.seeds {
		sum.merge(newFleet(s.config, seed, pick).run())
	}
	return sum
}

// choiceRows compares the policies in one scenario; the targets for the latencies of the production policy are the lowest
// latencies of the policies before it.
func choiceRows(s scenario) []measure.Row {
	var rows []measure.Row
	var best summary
	for i, p := range policies {
		m := summarize(runSeeds(s, p.pick))
		if p.name == productionName {
			rows = append(rows, m.rows(s.name+"."+p.name, &best)...)
			continue
		}
		rows = append(rows, m.rows(s.name+"."+p.name, nil)...)
		if i == 0 {
			best = m
			continue
		}
		best = best.minLatencies(m)
	}
	return rows
}

// summary contains the printed figures of one policy.
type summary struct {
	p50, p95, p99       float64 // ms
	hitRatio, imbalance float64
}

func summarize(s *stats) summary {
	return summary{
		p50:       s.percentile(50),
		p95:       s.percentile(95),
		p99:       s.percentile(99),
		hitRatio:  s.hitRatio(),
		imbalance: s.imbalance(),
	}
}

// minLatencies returns m with each latency replaced by the lower one of m and o.
func (m summary) minLatencies(o summary) summary {
	m.p50 = min(m.p50, o.p50)
	m.p95 = min(m.p95, o.p95)
	m.p99 = min(m.p99, o.p99)
	return m
}

// rows returns the rows of m; the latencies of best are targets unless best is nil.
func (m summary) rows(name string, best *summary) []measure.Row {
	rest := []measure.Row{
		measure.NoTarget(name+".hits", m.hitRatio, "share"),
		measure.NoTarget(name+".spread", m.imbalance, "max/mean"),
	}
	if best == nil {
		return append([]measure.Row{
			measure.NoTarget(name+".p50", m.p50, "ms"),
			measure.NoTarget(name+".p95", m.p95, "ms"),
			measure.NoTarget(name+".p99", m.p99, "ms"),
		}, rest...)
	}
	return append([]measure.Row{
		measure.AtMost(name+".p50", m.p50, "ms", best.p50),
		measure.AtMost(name+".p95", m.p95, "ms", best.p95),
		measure.AtMost(name+".p99", m.p99, "ms", best.p99),
	}, rest...)
}
