package telemetry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// NamedGauges is a family of gauges whose label values change: a value that is replaced is no longer reported. It is safe for
// concurrent use.
type NamedGauges struct {
	set         *metrics.Set
	name, label string

	mu         sync.Mutex
	registered map[string]string // full name by label value
}

// Replace sets the gauges to the values, by label value, and removes all others.
func (g *NamedGauges) Replace(values map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for value, name := range g.registered {
		if _, kept := values[value]; !kept {
			g.set.UnregisterMetric(name)
			delete(g.registered, value)
		}
	}
	for value, x := range values {
		name := g.name + "{" + g.label + `="` + sanitize(value) + `"}`
		g.set.GetOrCreateGauge(name, nil).Set(x)
		g.registered[value] = name
	}
}
