package telemetry

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Counters counts events by one label.
type Counters = *Family[*metrics.Counter]

// Gauges holds current values by one label.
type Gauges = *Family[*metrics.Gauge]

// Histograms holds distributions of values by one label.
type Histograms = *Family[*metrics.Histogram]

// maxLabels bounds the distinct values of one label, so that untrusted values cannot exhaust memory; further values are counted under overflowLabel.
const maxLabels = 2048

// overflowLabel is the label value that replaces values beyond maxLabels.
const overflowLabel = "other"

// Family holds the metrics that share a name, by the value of their one label; it is safe for concurrent use.
type Family[T any] struct {
	name    string
	label   string
	make    func(name string) T
	mutex   sync.RWMutex
	byValue map[string]T
}

func newFamily[T any](name, label string, create func(string) T) *Family[T] {
	return &Family[T]{name: name, label: label, make: create, byValue: map[string]T{}}
}

// Get returns the metric of the label value and creates it at first use.
func (f *Family[T]) Get(value string) T {
	f.mutex.RLock()
	m, found := f.byValue[value]
	f.mutex.RUnlock()
	if found {
		return m
	}
	return f.add(value)
}

func (f *Family[T]) add(value string) T {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.byValue) >= maxLabels {
		value = overflowLabel
	}
	if m, found := f.byValue[value]; found {
		return m
	}
	m := f.make(f.name + `{` + f.label + `="` + sanitize(value) + `"}`)
	f.byValue[value] = m
	return m
}

// sanitize replaces characters that the Prometheus text format would need escaped in a label value.
func sanitize(value string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || r == '"' || r == '\\' || r == '{' || r == '}' {
			return '_'
		}
		return r
	}, value)
}
