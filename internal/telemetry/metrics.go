package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// prefix begins the name of every metric.
const prefix = "carawaypick_"

// Metrics counts and measures the decisions of one process.
type Metrics struct {
	Set *metrics.Set

	Calls    Counters   // calls ended, by outcome: whole, notrun, unknown, failed, gone
	Latency  Histograms // ms from a call's start to its end, by service
	First    Histograms // ms from a call's start to its first event, by service
	Choices  Counters   // backend servers chosen, by availability zone
	Load     Histograms // requests outstanding at the chosen backend server, by service
	Retries  Counters   // attempts after the first, by reason
	Refusals Counters   // refusals, by reason
	Resumes  Counters   // streams resumed elsewhere, by reason
	Dropped  Counters   // answers dropped because id, attempt or index did not match, by reason
	Crashes  Counters   // crashes of the backend server, by evidence: alone, shared, none

	Ramp    *metrics.Gauge // requests that the backend server bears now
	Running *metrics.Gauge // requests at the backend server or in progress at the entry
	Queued  *metrics.Gauge // requests waiting
	Wait    Histograms     // ms waited in the queue, by team
	Share   Counters       // expected tokens handed to the backend server, by team
	Skew    Gauges         // step time of the slowest rank over the mean, by group

	Ticket   *metrics.Gauge // highest ticket number in force
	Age      *metrics.Gauge // ms since that ticket came into force
	Missing  *metrics.Gauge // lowest missing ticket number, 0 for none
	Conflict *metrics.Gauge // ticket numbers seen with two contents
	Skipped  *metrics.Gauge // invalid tickets skipped that the process remembers
	Platform Counters       // calls to the platform, by kind
	Faults   Counters       // failed calls to the platform, by kind
	Peers    Counters       // calls to the system's own processes, by result
	Bad      Counters       // malformed input refused, by source
	Bindings *metrics.Gauge // outcomes and bindings held
	Shutdown *metrics.Gauge // 1 while the process shuts down gracefully
}

// NewMetrics returns the metrics of a new process.
func NewMetrics() *Metrics {
	m := &Metrics{Set: metrics.NewSet()}
	m.calls()
	m.agent()
	m.tickets()
	return m
}

func (m *Metrics) calls() {
	m.Calls = m.counters("calls_total", "outcome")
	m.Latency = m.histograms("call_ms", "service")
	m.First = m.histograms("first_event_ms", "service")
	m.Choices = m.counters("choices_total", "zone")
	m.Load = m.histograms("choice_load", "service")
	m.Retries = m.counters("retries_total", "reason")
	m.Refusals = m.counters("refusals_total", "reason")
	m.Resumes = m.counters("resumes_total", "reason")
	m.Dropped = m.counters("dropped_answers_total", "reason")
	m.Crashes = m.counters("backend_crashes_total", "evidence")
}

func (m *Metrics) agent() {
	m.Ramp = m.gauge("ramp_window")
	m.Running = m.gauge("running")
	m.Queued = m.gauge("queued")
	m.Wait = m.histograms("queue_wait_ms", "team")
	m.Share = m.counters("share_tokens_total", "team")
	m.Skew = m.gauges("step_skew", "group")
	m.Bindings = m.gauge("bindings")
	m.Shutdown = m.gauge("shutdown")
}

func (m *Metrics) tickets() {
	m.Ticket = m.gauge("ticket_number")
	m.Age = m.gauge("ticket_age_ms")
	m.Missing = m.gauge("ticket_missing")
	m.Conflict = m.gauge("ticket_conflicts")
	m.Skipped = m.gauge("tickets_skipped")
	m.Platform = m.counters("platform_calls_total", "kind")
	m.Faults = m.counters("platform_faults_total", "kind")
	m.Peers = m.counters("peer_calls_total", "result")
	m.Bad = m.counters("bad_input_total", "source")
}

// Write writes all metrics and those of the process in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) gauge(name string) *metrics.Gauge {
	return m.Set.NewGauge(prefix+name, nil)
}

func (m *Metrics) counters(name, label string) Counters {
	return newFamily(prefix+name, label, m.Set.NewCounter)
}

func (m *Metrics) gauges(name, label string) Gauges {
	create := func(name string) *metrics.Gauge { return m.Set.NewGauge(name, nil) }
	return newFamily(prefix+name, label, create)
}

func (m *Metrics) histograms(name, label string) Histograms {
	return newFamily(prefix+name, label, m.Set.NewHistogram)
}
