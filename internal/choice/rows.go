package choice

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// seeds of the runs whose figures are taken together.
var seeds = []uint64{1, 2, 3}

// extent names a size that is measured.
type extent struct {
	name  string
	size  size
	seeds []uint64
}

// extents are today's fleet and a fleet of which an entry knows a subset only.
var extents = []extent{
	{
		name:  "choice.16",
		size:  size{servers: 16, entries: 6, subset: 320, prefixes: 64, rate: 90, warm: moment(10 * clock.Second), end: moment(60 * clock.Second)},
		seeds: seeds,
	},
	{
		name:  "choice.subset320",
		size:  size{servers: 640, entries: 24, subset: 320, prefixes: 2560, rate: 3600, warm: moment(8 * clock.Second), end: moment(16 * clock.Second)},
		seeds: seeds[:1],
	},
}

// named is a policy with its name in rows.
type named struct {
	name string
	pick policy
}

// chosen is the name of the product's choice in rows.
const chosen = "power"

var policies = []named{
	{name: "roundrobin", pick: roundRobin},
	{name: "leastoutstanding", pick: leastOutstanding},
	{name: "rendezvous", pick: rendezvous},
	{name: chosen, pick: power(balance.DefaultTuning())},
	{name: "noevents", pick: withoutEvents(power(balance.DefaultTuning()))},
}

// Rows measures the choice of a backend server, the teams' shares and overload, and returns a row for each figure.
func Rows() ([]measure.Row, error) {
	var rows []measure.Row
	for _, x := range extents {
		rows = append(rows, choiceRows(x)...)
	}
	rows = append(rows, shareRows()...)
	return append(rows, overloadRows()...), nil
}

// total returns the figures of one policy over all seeds.
func total(x extent, pick policy) *figures {
	sum := newFigures()
	for _, seed := range x.seeds {
		sum.add(newFleet(x.size, seed, pick).run())
	}
	return sum
}

// choiceRows compares the policies at one size; the product's choice has to be no worse than the best baseline.
func choiceRows(x extent) []measure.Row {
	var rows []measure.Row
	var best marks
	for i, p := range policies {
		m := mark(total(x, p.pick))
		if p.name == chosen {
			rows = append(rows, m.rows(x.name+"."+p.name, &best)...)
			continue
		}
		rows = append(rows, m.rows(x.name+"."+p.name, nil)...)
		if i == 0 {
			best = m
			continue
		}
		best = best.better(m)
	}
	return rows
}

// marks are the figures of one policy that rows show.
type marks struct {
	p50, p95, p99 float64 // ms
	hits, spread  float64
}

func mark(f *figures) marks {
	return marks{
		p50:    f.quantile(50),
		p95:    f.quantile(95),
		p99:    f.quantile(99),
		hits:   f.hitShare(),
		spread: f.spread(),
	}
}

// better returns the best of each time.
func (m marks) better(o marks) marks {
	m.p50 = min(m.p50, o.p50)
	m.p95 = min(m.p95, o.p95)
	m.p99 = min(m.p99, o.p99)
	return m
}

func (m marks) rows(name string, best *marks) []measure.Row {
	rest := []measure.Row{
		measure.NoTarget(name+".hits", m.hits, "share"),
		measure.NoTarget(name+".spread", m.spread, "max/mean"),
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
