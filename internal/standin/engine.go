package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

const (
	defaultStepInterval = 5 * clock.Millisecond
	defaultCacheSize    = 64
	stallPollInterval   = 5 * clock.Millisecond
	loadRetention       = 10 * clock.Second // maximum age of a load in the history that delayed reports read
)

// EngineFault configures the speed, capacity and injected faults of one engine.
type EngineFault struct {
	Interval           clock.Span `json:"interval"` // ms between tokens
	ExtraInterval      clock.Span `json:"slow"`     // ms added to Interval
	Prefill            clock.Span `json:"prefill"`  // ms before the first token if the prefix isn't cached
	MaxConcurrency     int        `json:"bears"`    // concurrent requests that a warm engine serves without crashing, 0 for unlimited
	MaxColdConcurrency int        `json:"cold"`     // like MaxConcurrency, but right after a start; each completed request adds one, up to MaxConcurrency; ignored if MaxConcurrency is 0
	CrashWord          string     `json:"crash"`    // word that crashes the engine if a prompt contains it, empty for none
	Downtime           clock.Span `json:"dead"`     // ms after a restart during which every request's connection is closed
	Stall              bool       `json:"stall"`    // streams pause without closing
	CutIndex           int        `json:"cut"`      // index of the event before which a stream's connection is closed
	CutsLeft           int        `json:"cuts"`     // number of further streams to cut
	SwapsLeft          int        `json:"swap"`     // number of further streams that get the response to another request
	Fence              bool       `json:"fence"`    // reject orders with a lower fencing number than an earlier one
	Lag                clock.Span `json:"lag"`      // ms by which load reports and cache events are delayed
	DropEvery          uint64     `json:"gap"`      // cache events whose sequence is a multiple of this are dropped, 0 for none
	CacheSize          int        `json:"memory"`   // maximum number of cached prefixes, at least 1
}

// Engine is a stand-in for a model engine.
type Engine struct {
	*Server
	fault faultState[EngineFault]
	group *Group
	rank  int // index in group.Ranks, -1 without a group

	mutex           sync.Mutex
	incarnation     string
	crashes         int
	overloadCrashes int        // crashes by overload, which crashes counts too
	downUntil       clock.Time // requests' connections are closed until then
	completed       int        // number of requests completed since the last restart
	running         map[*stream]bool
	peakRunning     int
	loads           []LoadReport
	cache           cache
	orders          orderLog
	requestLog      []EngineRequest
}

// LoadReport is one load report of an engine or a plain service.
type LoadReport struct {
	Incarnation string     `json:"incarnation"`
	Running     int        `json:"running"`
	Queued      int        `json:"queued"`
	Tokens      int        `json:"tokens"` // tokens still to be generated for the running requests
	Age         clock.Span `json:"age"`    // ms by which the report is delayed (EngineFault.Lag), 0 for a plain service
	at          clock.Time
}

// EngineRequest is the engine's record of one request.
type EngineRequest struct {
	ID          string `json:"id"`
	Priority    string `json:"priority"`
	Resume      int    `json:"resume"`  // index of the first event to send
	Incarnation string `json:"process"` // incarnation that received the request
	EventsSent  int    `json:"sent"`    // number of events sent
	Outcome     string `json:"end"`     // running, or how the stream ended: end (complete), cut, cancel, crash
}

// EngineRecord is the engine's record of its requests and crashes.
type EngineRecord struct {
	Incarnation     string          `json:"incarnation"`
	Crashes         int             `json:"crashes"`  // by overload or by a prompt with the crash word; requested restarts aren't counted
	OverloadCrashes int             `json:"overload"` // crashes by overload
	PeakRunning     int             `json:"peak"`     // maximum number of concurrent requests
	Requests        []EngineRequest `json:"requests"`
}

// stream is one running response.
type stream struct {
	id          string
	record      int           // index in Engine.requestLog
	remaining   int           // tokens still to be generated
	stop        chan struct{} // closed at the end of the stream
	outcome     string        // set before stop is closed
	incarnation string
	conn        net.Conn
}

// NewEngine starts an engine on address, or on a free loopback port if address is empty.
func NewEngine(address string) (*Engine, error) {
	e := newEngine()
	return e, e.start(address)
}

func newEngine() *Engine {
	e := &Engine{Server: newServer(), running: map[*stream]bool{}, incarnation: newIncarnation(), rank: -1}
	e.fault.value = EngineFault{Interval: defaultStepInterval, CacheSize: defaultCacheSize}
	e.fault.route(e.app)
	e.app.Use(e.rejectWhileDown)
	e.app.Post("/generate", e.generate)
	e.app.Post("/cancel", e.cancelRequest)
	e.app.Post("/restart", func(c *fiber.Ctx) error { e.restartExcept(c.Context().Conn()); return nil })
	e.app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(e.load()) })
	e.app.Get("/cache", e.readCache)
	e.app.Post("/order", e.order)
	e.app.Get("/orders", func(c *fiber.Ctx) error { return c.JSON(orderList{Orders: e.Orders()}) })
	e.app.Get("/record", func(c *fiber.Ctx) error { return c.JSON(e.Record()) })
	return e
}

func newIncarnation() string {
	return fmt.Sprintf("%08x", rand.Uint32())
}

// SetFault changes the injected faults.
func (e *Engine) SetFault(change func(*EngineFault)) {
	e.fault.set(change)
}

// Restart simulates an abrupt cold restart: cuts all streams and connections and begins a new incarnation.
func (e *Engine) Restart() {
	e.restartExcept(nil)
}

// restartExcept restarts the engine and leaves conn open (nil for none).
func (e *Engine) restartExcept(conn net.Conn) {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restart(fault, conn)
}

// Record returns a copy of the engine's record.
func (e *Engine) Record() EngineRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return EngineRecord{
		Incarnation:     e.incarnation,
		Crashes:         e.crashes,
		OverloadCrashes: e.overloadCrashes,
		PeakRunning:     e.peakRunning,
		Requests:        append([]EngineRequest{}, e.requestLog...),
	}
}

// restart ends all streams, begins a new cold incarnation that is down for fault.Downtime, and closes all connections except
// the given one (nil for all); the caller holds the mutex.
func (e *Engine) restart(fault EngineFault, except net.Conn) {
	for s := range e.running {
		e.endStream(s, "crash")
	}
	e.incarnation = newIncarnation()
	e.completed = 0
	e.cache.clear()
	e.downUntil = e.clock.Now().Add(fault.Downtime)
	e.recordLoad()
	e.listener.restart(except)
}

// endStream removes a stream from the running ones and records its outcome; the caller holds the mutex.
func (e *Engine) endStream(s *stream, outcome string) {
	if !e.running[s] {
		return
	}
	delete(e.running, s)
	s.outcome = outcome
	e.requestLog[s.record].Outcome = outcome
	close(s.stop)
	if outcome == "end" {
		e.completed++
	}
	e.recordLoad()
}

// concurrencyLimit returns the number of concurrent requests above which the engine crashes; the caller holds the mutex.
func (e *Engine) concurrencyLimit(fault EngineFault) int {
	return min(fault.MaxConcurrency, fault.MaxColdConcurrency+e.completed)
}

// startStream registers a request. At the concurrency limit, it first cancels abandoned streams; if the request still exceeds the
// limit, it counts an overload crash and restarts the engine.
func (e *Engine) startStream(conn net.Conn, id, priority string, resume, tokens int) *stream {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fault.MaxConcurrency > 0 && len(e.running) >= e.concurrencyLimit(fault) {
		e.cancelAbandoned()
	}
	s := &stream{id: id, remaining: tokens - resume, stop: make(chan struct{}), incarnation: e.incarnation, conn: conn, record: len(e.requestLog)}
	e.requestLog = append(e.requestLog, EngineRequest{ID: id, Priority: priority, Resume: resume, Incarnation: e.incarnation, Outcome: "running"})
	e.running[s] = true
	e.peakRunning = max(e.peakRunning, len(e.running))
	e.recordLoad()
	if fault.MaxConcurrency > 0 && len(e.running) > e.concurrencyLimit(fault) {
		e.overloadCrashes++
		e.crashes++
		e.restart(fault, nil)
	}
	return s
}

// cancelAbandoned cancels the streams whose clients have closed the connection; the caller holds the mutex.
func (e *Engine) cancelAbandoned() {
	for s := range e.running {
		if peerClosed(s.conn) {
			e.endStream(s, "cancel")
		}
	}
}

// crashOn counts a crash and restarts the engine, unless the stream has already ended.
func (e *Engine) crashOn(s *stream) {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running[s] {
		e.crashes++
		e.restart(fault, nil)
	}
}

// countEvent counts one event of a stream and returns false if the stream has ended.
func (e *Engine) countEvent(s *stream) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.running[s] {
		return false
	}
	s.remaining--
	e.requestLog[s.record].EventsSent++
	return true
}

func (e *Engine) finish(s *stream, outcome string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endStream(s, outcome)
}

// recordLoad appends the current load to the history that delayed reports read; the caller holds the mutex.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	report := LoadReport{Incarnation: e.incarnation, Running: len(e.running), at: now}
	for s := range e.running {
		report.Tokens += s.remaining
	}
	old := 0
	for old < len(e.loads)-1 && now.Sub(e.loads[old+1].at) > loadRetention {
		old++
	}
	e.loads = append(e.loads[old:], report)
}

func (e *Engine) load() LoadReport {
	lag := e.fault.get().Lag
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	report := LoadReport{Incarnation: e.incarnation}
	for _, l := range e.loads {
		if now.Sub(l.at) >= lag {
			report = l
		}
	}
	report.Age = lag
	return report
}

func (e *Engine) rejectWhileDown(c *fiber.Ctx) error {
	e.mutex.Lock()
	down := e.clock.Now() < e.downUntil
	e.mutex.Unlock()
	if down {
		return c.Context().Conn().Close()
	}
	return c.Next()
}

func (e *Engine) cancelRequest(c *fiber.Ctx) error {
	var request struct {
		ID string `json:"id"`
	}
	if err := c.BodyParser(&request); err != nil {
		return badRequest(err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for s := range e.running {
		if s.id == request.ID {
			e.endStream(s, "cancel")
		}
	}
	return nil
}
