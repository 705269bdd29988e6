package standin

import (
	"net"
	"sync"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// PlainFault configures the speed, capacity and injected faults of a plain service.
type PlainFault struct {
	ServiceTime        clock.Span `json:"work"`   // ms that a call runs
	CutsBeforeRun      int        `json:"before"` // number of further calls whose connection is closed before they run
	CutsAfterRun       int        `json:"after"`  // number of further calls whose connection is closed after they ran
	ResponseDelay      clock.Span `json:"late"`   // ms between the run and its response
	DuplicateResponses bool       `json:"double"` // send each response twice on its connection
	SwapResponses      bool       `json:"swap"`   // respond with the id and result of the previous call
	MaxConcurrency     int        `json:"bears"`  // concurrent calls above which it answers 503, 0 for unlimited
}

// RequestRuns is the number of runs of one request id in the plain service's record.
type RequestRuns struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// RunList is the response to GET /runs.
type RunList struct {
	Runs []RequestRuns `json:"runs"`
}

// PlainResponse is the response to one call.
type PlainResponse struct {
	ID     string `json:"id"`
	Result string `json:"result"`
}

// Plain is a stand-in for a plain service.
type Plain struct {
	*Server
	fault       faultState[PlainFault]
	mutex       sync.Mutex
	incarnation string
	ids         []string       // request ids in the order of their first run
	runCounts   map[string]int // by request id
	running     int
	peakRunning int
	previous    PlainResponse
}

// NewPlain starts a plain service on address, or on a free loopback port if address is empty.
func NewPlain(address string) (*Plain, error) {
	p := &Plain{Server: newServer(), runCounts: map[string]int{}, incarnation: newIncarnation()}
	p.fault.route(p.app)
	p.app.Get("/runs", func(c *fiber.Ctx) error { return c.JSON(p.Runs()) })
	p.app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(p.load()) })
	p.app.Post("/restart", func(c *fiber.Ctx) error { p.restartExcept(c.Context().Conn()); return nil })
	p.app.All("/*", p.handleCall)
	return p, p.start(address)
}

// SetFault changes the injected faults.
func (p *Plain) SetFault(change func(*PlainFault)) {
	p.fault.set(change)
}

// Runs returns the number of runs of each request id.
func (p *Plain) Runs() RunList {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := RunList{Runs: []RequestRuns{}}
	for _, id := range p.ids {
		list.Runs = append(list.Runs, RequestRuns{ID: id, Count: p.runCounts[id]})
	}
	return list
}

// RunCount returns how often the request with this id ran.
func (p *Plain) RunCount(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runCounts[id]
}

// Running returns the number of running calls.
func (p *Plain) Running() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running
}

// PeakRunning returns the maximum number of concurrent calls.
func (p *Plain) PeakRunning() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peakRunning
}

// Restart simulates a process restart: closes all connections and begins a new incarnation, but keeps the record of runs.
func (p *Plain) Restart() {
	p.restartExcept(nil)
}

// restartExcept restarts the service and leaves conn open (nil for none).
func (p *Plain) restartExcept(conn net.Conn) {
	p.mutex.Lock()
	p.incarnation = newIncarnation()
	p.running = 0
	p.mutex.Unlock()
	p.listener.restart(conn)
}

func (p *Plain) load() LoadReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return LoadReport{Incarnation: p.incarnation, Running: p.running}
}

// decrement decrements the fault counter that field selects, unless it is 0, and reports whether it did.
func (p *Plain) decrement(field func(*PlainFault) *int) bool {
	decremented := false
	p.fault.set(func(f *PlainFault) {
		if n := field(f); *n > 0 {
			*n--
			decremented = true
		}
	})
	return decremented
}

func (p *Plain) handleCall(c *fiber.Ctx) error {
	if p.decrement(func(f *PlainFault) *int { return &f.CutsBeforeRun }) {
		return c.Context().Conn().Close()
	}
	fault := p.fault.get()
	incarnation, ok := p.startCall(fault)
	if !ok {
		return fiber.ErrServiceUnavailable
	}
	id := c.Get("Request-Id")
	p.recordRun(id)
	p.sleep(fault.ServiceTime)
	response := PlainResponse{ID: id, Result: PlainResult(c.OriginalURL(), c.Body())}
	if !p.endCall(incarnation) {
		return c.Context().Conn().Close()
	}
	if p.decrement(func(f *PlainFault) *int { return &f.CutsAfterRun }) {
		return c.Context().Conn().Close()
	}
	p.sleep(fault.ResponseDelay)
	response = p.swapWithPrevious(response, fault.SwapResponses)
	c.Set("Request-Id", response.ID)
	if fault.DuplicateResponses {
		return p.writeTwice(c, response)
	}
	return c.JSON(response)
}

// startCall increments running and returns the incarnation that runs the call, or returns false if MaxConcurrency calls already run.
func (p *Plain) startCall(fault PlainFault) (incarnation string, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if fault.MaxConcurrency > 0 && p.running >= fault.MaxConcurrency {
		return "", false
	}
	p.running++
	p.peakRunning = max(p.peakRunning, p.running)
	return p.incarnation, true
}

// endCall decrements running, unless the service has restarted since the call started; then it returns false.
func (p *Plain) endCall(incarnation string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.incarnation != incarnation {
		return false
	}
	p.running--
	return true
}

func (p *Plain) recordRun(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runCounts[id] == 0 {
		p.ids = append(p.ids, id)
	}
	p.runCounts[id]++
}

// swapWithPrevious returns the previous response if swap is set, and stores this one as the previous.
func (p *Plain) swapWithPrevious(response PlainResponse, swap bool) PlainResponse {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if swap {
		response, p.previous = p.previous, response
		return response
	}
	p.previous = response
	return response
}

// writeTwice writes the response to the connection and returns, so that fiber writes it a second time.
func (p *Plain) writeTwice(c *fiber.Ctx, response PlainResponse) error {
	if err := c.JSON(response); err != nil {
		return err
	}
	buffered := c.Response()
	buffered.Header.SetContentLength(len(buffered.Body()))
	raw := append(buffered.Header.Header(), buffered.Body()...)
	_, err := c.Context().Conn().Write(raw)
	return err
}
