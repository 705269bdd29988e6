package telemetry

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabels bounds the values of one label; more are counted under overflow.
const maxLabels = 2048

// overflow is the label value of everything beyond maxLabels.
const overflow = "other"

// family holds the metrics of one name by the value of one label.
type family[T any] struct {
	name  string
	label string
	make  func(name string) T
	mutex sync.RWMutex
	known map[string]T
}

func newFamily[T any](name, label string, create func(string) T) *family[T] {
	return &family[T]{name: name, label: label, make: create, known: map[string]T{}}
}

// get returns the metric of value and makes it at first use.
func (f *family[T]) get(value string) T {
	f.mutex.RLock()
	m, found := f.known[value]
	f.mutex.RUnlock()
	if found {
		return m
	}
	return f.add(value)
}

func (f *family[T]) add(value string) T {
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

// Counters counts events by one label.
type Counters struct {
	family *family[*metrics.Counter]
}

// Inc counts one event under value.
func (c Counters) Inc(value string) {
	c.family.get(value).Inc()
}

// Count returns the events counted under value.
func (c Counters) Count(value string) uint64 {
	return c.family.get(value).Get()
}

// Gauges holds present values by one label.
type Gauges struct {
	family *family[*metrics.Gauge]
}

// Set replaces the present value under the label.
func (g Gauges) Set(label string, value float64) {
	g.family.get(label).Set(value)
}

// Histograms counts measured values by one label.
type Histograms struct {
	family *family[*metrics.Histogram]
}

// Update counts one measured value under the label.
func (h Histograms) Update(label string, value float64) {
	h.family.get(label).Update(value)
}
