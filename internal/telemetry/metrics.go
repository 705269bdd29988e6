package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix begins the name of every metric.
const metricPrefix = "carawaypick_"

// Metrics holds the metrics of one process.
type Metrics struct {
	Set *metrics.Set

	Calls             Counters   // ended calls, by outcome: whole and failed; at an entry also notrun and unknown; at a gateway also refused, broken and left
	Latency           Histograms // ms from a call's start to its end, by service
	FirstEventLatency Histograms // ms from a call's start to its first event, by service
	Choices           Counters   // backend servers chosen, by availability zone
	LimitedSends      Counters   // requests sent to backend servers with a limited rate, by service
	ChoiceLoad        Histograms // requests in flight at the chosen backend server, by service
	Retries           Counters   // attempts after the first, by reason; reason budget counts retries that the retry budget denied
	MemoryPressure    Counters   // connections and requests that were evicted, or rejected for a lack of memory, by port and reason
	Rejections        Counters   // requests rejected or not completed, by reason
	Resumes           Counters   // streams resumed at another backend server, by reason
	OverloadWait      Gauges     // expected wait in ms of the least urgent requests on time, with coordinated admission, by service
	DroppedAnswers    Counters   // events or answers dropped because id, attempt or index did not match, by reason
	Crashes           Counters   // crashes of the backend server, by evidence: alone if it ran one isolated request, otherwise shared

	WorstCapacities *NamedGauges // learned capacities in requests of the worst backend servers, by server
	Capacity        Histograms   // learned capacities in requests of the other ones, by service

	SlowStartWindow *metrics.Gauge // concurrency limit of the backend server in requests
	Running         *metrics.Gauge // requests at the backend server or in progress at the entry
	Queued          *metrics.Gauge // requests waiting in the queue
	QueueWait       Histograms     // ms that a request waited in the queue, by team
	TeamTokens      Counters       // expected tokens of the requests sent to the backend server, by team
	Skew            Gauges         // step time of the slowest rank divided by the mean, by group

	TicketNumber     *metrics.Gauge // highest ticket number in force
	TicketAge        *metrics.Gauge // ms since the configuration state in force took effect
	MissingTicket    *metrics.Gauge // lowest missing ticket number, 0 for none
	TicketConflicts  *metrics.Gauge // ticket numbers with conflicting contents
	TicketsSkipped   *metrics.Gauge // invalid tickets that the state lists as skipped
	PlatformCalls    Counters       // calls to the platform, by kind
	PlatformFailures Counters       // failed calls to the platform, by kind
	PeerCalls        Counters       // failed polls of agents; the result label is always failed
	MalformedInputs  Counters       // malformed inputs rejected, by source
	Bindings         *metrics.Gauge // ids of non-idempotent requests that the binding table remembers
	Shutdown         *metrics.Gauge // 1 while the process shuts down gracefully
}

// NewMetrics returns the metrics of a new process.
func NewMetrics() *Metrics {
	m := &Metrics{Set: metrics.NewSet()}
	m.registerCalls()
	m.registerAgent()
	m.registerTickets()
	return m
}

func (m *Metrics) registerCalls() {
	m.Calls = m.counters("calls_total", "outcome")
	m.Latency = m.histograms("call_ms", "service")
	m.FirstEventLatency = m.histograms("first_event_ms", "service")
	m.Choices = m.counters("choices_total", "zone")
	m.LimitedSends = m.counters("limited_sends_total", "service")
	m.ChoiceLoad = m.histograms("choice_load", "service")
	m.Retries = m.counters("retries_total", "reason")
	m.Rejections = m.counters("refusals_total", "reason")
	m.MemoryPressure = m.counters("memory_pressure_total", "reason")
	m.Resumes = m.counters("resumes_total", "reason")
	m.OverloadWait = m.gauges("overload_wait_ms", "service")
	m.DroppedAnswers = m.counters("dropped_answers_total", "reason")
	m.WorstCapacities = &NamedGauges{set: m.Set, name: metricPrefix + "worst_capacity", label: "server", registered: make(map[string]string)}
	m.Capacity = m.histograms("learned_capacity", "service")
	m.Crashes = m.counters("backend_crashes_total", "evidence")
}

func (m *Metrics) registerAgent() {
	m.SlowStartWindow = m.gauge("ramp_window")
	m.Running = m.gauge("running")
	m.Queued = m.gauge("queued")
	m.QueueWait = m.histograms("queue_wait_ms", "team")
	m.TeamTokens = m.counters("share_tokens_total", "team")
	m.Skew = m.gauges("step_skew", "group")
	m.Bindings = m.gauge("bindings")
	m.Shutdown = m.gauge("shutdown")
}

func (m *Metrics) registerTickets() {
	m.TicketNumber = m.gauge("ticket_number")
	m.TicketAge = m.gauge("ticket_age_ms")
	m.MissingTicket = m.gauge("ticket_missing")
	m.TicketConflicts = m.gauge("ticket_conflicts")
	m.TicketsSkipped = m.gauge("tickets_skipped")
	m.PlatformCalls = m.counters("platform_calls_total", "kind")
	m.PlatformFailures = m.counters("platform_faults_total", "kind")
	m.PeerCalls = m.counters("peer_calls_total", "result")
	m.MalformedInputs = m.counters("bad_input_total", "source")
}

// Write writes all metrics and those of the operating system process in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) gauge(name string) *metrics.Gauge {
	return m.Set.NewGauge(metricPrefix+name, nil)
}

// RegisterGauge adds a gauge whose value is read when the metrics are.
func (m *Metrics) RegisterGauge(name string, value func() float64) {
	m.Set.NewGauge(metricPrefix+name, value)
}

// OverloadRejection counts a request of the service and priority that coordinated admission rejected.
func (m *Metrics) OverloadRejection(service string, priority int) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`%soverload_rejections_total{service="%s",priority="%d"}`, metricPrefix, sanitize(service), priority)).Inc()
}

func (m *Metrics) counters(name, label string) Counters {
	return newFamily(metricPrefix+name, label, m.Set.NewCounter)
}

func (m *Metrics) gauges(name, label string) Gauges {
	create := func(name string) *metrics.Gauge { return m.Set.NewGauge(name, nil) }
	return newFamily(metricPrefix+name, label, create)
}

func (m *Metrics) histograms(name, label string) Histograms {
	return newFamily(metricPrefix+name, label, m.Set.NewHistogram)
}
