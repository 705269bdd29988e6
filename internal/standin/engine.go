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
	defaultInterval = 5 * clock.Millisecond
	defaultMemory   = 64
	stallInterval   = 5 * clock.Millisecond
	historySpan     = 10 * clock.Second
)

// EngineFault holds the fault switches of one engine.
type EngineFault struct {
	Interval clock.Span `json:"interval"` // ms between tokens
	Slow     clock.Span `json:"slow"`     // more ms between tokens
	Prefill  clock.Span `json:"prefill"`  // ms before the first token where the prefix isn't cached
	Bears    int        `json:"bears"`    // requests at once when warm, 0 for any number
	Cold     int        `json:"cold"`     // requests at once when cold; each completed request adds one
	Crash    string     `json:"crash"`    // prompts that contain this word end the process
	Dead     clock.Span `json:"dead"`     // ms after a crash in which connections are cut
	Stall    bool       `json:"stall"`    // streams stop without closing
	Cut      int        `json:"cut"`      // index before which a stream's connection is cut
	Cuts     int        `json:"cuts"`     // number of streams still to be cut
	Swap     int        `json:"swap"`     // number of streams still to be given another request's answer
	Fence    bool       `json:"fence"`    // refuse orders with a lower fencing number
	Lag      clock.Span `json:"lag"`      // ms by which load reports and cache events are late
	Gap      uint64     `json:"gap"`      // each cache event whose sequence divides by this is lost, 0 for none
	Memory   int        `json:"memory"`   // prefixes held at once
}

// Engine stands in for a model engine.
type Engine struct {
	*Server
	fault switches[EngineFault]
	group *Group
	rank  int

	mutex     sync.Mutex
	process   string // incarnation
	crashes   int
	overload  int        // crashes by overload
	dead      clock.Time // connections are cut until then
	completed int        // since the last restart
	running   map[*stream]bool
	peak      int
	loads     []Load
	cache     cache
	orders    orderBook
	requests  []EngineRequest
}

// Load is one load report of an engine.
type Load struct {
	Incarnation string     `json:"incarnation"`
	Running     int        `json:"running"`
	Queued      int        `json:"queued"`
	Tokens      int        `json:"tokens"` // still to be made
	Age         clock.Span `json:"age"`    // ms
	at          clock.Time
}

// EngineRequest is one entry in the engine's record of requests.
type EngineRequest struct {
	ID       string `json:"id"`
	Priority string `json:"priority"`
	Resume   int    `json:"resume"`
	Process  string `json:"process"` // incarnation
	Sent     int    `json:"sent"`    // events
	End      string `json:"end"`     // running, end, cut, cancel, crash
}

// EngineRecord is the engine's own record of what befell it.
type EngineRecord struct {
	Incarnation string          `json:"incarnation"`
	Crashes     int             `json:"crashes"`  // by overload or by a marked prompt, restarts by hand not counted
	Overload    int             `json:"overload"` // of these by overload
	Peak        int             `json:"peak"`     // most requests at once
	Requests    []EngineRequest `json:"requests"`
}

type stream struct {
	id      string
	record  int // index in Engine.requests
	left    int // tokens
	stop    chan struct{}
	reason  string // why stop was closed
	process string
	conn    net.Conn
}

// NewEngine starts an engine.
func NewEngine(address string) (*Engine, error) {
	e := newEngine()
	return e, e.start(address)
}

func newEngine() *Engine {
	e := &Engine{Server: newServer(), running: map[*stream]bool{}, process: newProcess(), rank: -1}
	e.fault.value = EngineFault{Interval: defaultInterval, Memory: defaultMemory}
	e.fault.route(e.app)
	e.app.Use(e.refuseDead)
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

func newProcess() string {
	return fmt.Sprintf("%08x", rand.Uint32())
}

// SetFault changes the fault switches.
func (e *Engine) SetFault(change func(*EngineFault)) {
	e.fault.set(change)
}

// Restart is a cold restart without warning: all streams are cut and a new incarnation begins.
func (e *Engine) Restart() {
	e.restartExcept(nil)
}

// restartExcept leaves one connection open.
func (e *Engine) restartExcept(conn net.Conn) {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restart(fault, conn)
}

// Record returns a copy of the engine's own record.
func (e *Engine) Record() EngineRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return EngineRecord{
		Incarnation: e.process,
		Crashes:     e.crashes,
		Overload:    e.overload,
		Peak:        e.peak,
		Requests:    append([]EngineRequest{}, e.requests...),
	}
}

// restart needs the mutex.
func (e *Engine) restart(fault EngineFault, except net.Conn) {
	for s := range e.running {
		e.end(s, "crash")
	}
	e.process = newProcess()
	e.completed = 0
	e.cache.clear()
	e.dead = e.clock.Now().Add(fault.Dead)
	e.note()
	e.listener.cut(except)
}

// end takes a stream off the running ones; it needs the mutex.
func (e *Engine) end(s *stream, reason string) {
	if !e.running[s] {
		return
	}
	delete(e.running, s)
	s.reason = reason
	e.requests[s.record].End = reason
	close(s.stop)
	if reason == "end" {
		e.completed++
	}
	e.note()
}

// bears returns how many requests the engine bears now; it needs the mutex.
func (e *Engine) bears(fault EngineFault) int {
	return min(fault.Bears, fault.Cold+e.completed)
}

// begin takes a request in, and restarts the engine where that is more than it bears.
func (e *Engine) begin(conn net.Conn, id, priority string, resume, tokens int) *stream {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fault.Bears > 0 && len(e.running) >= e.bears(fault) {
		e.sweep()
	}
	s := &stream{id: id, left: tokens - resume, stop: make(chan struct{}), process: e.process, conn: conn, record: len(e.requests)}
	e.requests = append(e.requests, EngineRequest{ID: id, Priority: priority, Resume: resume, Process: e.process, End: "running"})
	e.running[s] = true
	e.peak = max(e.peak, len(e.running))
	e.note()
	if fault.Bears > 0 && len(e.running) > e.bears(fault) {
		e.overload++
		e.crashes++
		e.restart(fault, nil)
	}
	return s
}

// sweep cancels the streams whose readers have closed the connection; it needs the mutex.
func (e *Engine) sweep() {
	for s := range e.running {
		if gone(s.conn) {
			e.end(s, "cancel")
		}
	}
}

// crash restarts the engine because of one of its requests.
func (e *Engine) crash(s *stream) {
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running[s] {
		e.crashes++
		e.restart(fault, nil)
	}
}

// sent counts one event of a stream and returns false where the stream was stopped.
func (e *Engine) sent(s *stream) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.running[s] {
		return false
	}
	s.left--
	e.requests[s.record].Sent++
	return true
}

func (e *Engine) finish(s *stream, reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.end(s, reason)
}

// note keeps a load report for its later readers; it needs the mutex.
func (e *Engine) note() {
	now := e.clock.Now()
	report := Load{Incarnation: e.process, Running: len(e.running), at: now}
	for s := range e.running {
		report.Tokens += s.left
	}
	old := 0
	for old < len(e.loads)-1 && now.Sub(e.loads[old+1].at) > historySpan {
		old++
	}
	e.loads = append(e.loads[old:], report)
}

func (e *Engine) load() Load {
	lag := e.fault.get().Lag
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	report := Load{Incarnation: e.process}
	for _, l := range e.loads {
		if now.Sub(l.at) >= lag {
			report = l
		}
	}
	report.Age = lag
	return report
}

func (e *Engine) refuseDead(c *fiber.Ctx) error {
	e.mutex.Lock()
	dead := e.clock.Now() < e.dead
	e.mutex.Unlock()
	if dead {
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
			e.end(s, "cancel")
		}
	}
	return nil
}
