package telemetry

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Counters counts events by one label.
type Counters = *Family[*metrics.Counter]

// Gauges holds present values by one label.
type Gauges = *Family[*metrics.Gauge]

// Histograms counts measured values by one label.
type Histograms = *Family[*metrics.Histogram]

// maxLabels bounds the values of one label; more are counted under overflow.
const maxLabels = 2048

// overflow is the label value of everything beyond maxLabels.
const overflow = "other"

// Family holds the metrics of one name by the value of one label.
type Family[T any] struct {
	name  string
	label string
	make  func(name string) T
	mutex sync.RWMutex
	known map[string]T
}

func newFamily[T any](name, label string, create func(string) T) *Family[T] {
	return &Family[T]{name: name, label: label, make: create, known: map[string]T{}}
}

// Get returns the metric of value and makes it at first use.
func (f *Family[T]) Get(value string) T {
	f.mutex.RLock()
	m, found := f.known[value]
	f.mutex.RUnlock()
	if found {
		return m
	}
	return f.add(value)
}

func (f *Family[T]) add(value string) T {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.known) >= maxLabels {
		value = overflow
	}
	if m, found := f.known[value]; found {
		return m
	}
	m := f.make(f.name + `{` + f.label + `="` + clean(value) + `"}`)
	f.known[value] = m
	return m
}

// clean keeps label values within what the text format bears unescaped.
func clean(value string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || r == '"' || r == '\\' || r == '{' || r == '}' {
			return '_'
		}
		return r
	}, value)
}
