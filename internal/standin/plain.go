package standin

import (
	"net"
	"sync"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// PlainFault holds the fault switches of a plain service.
type PlainFault struct {
	Work   clock.Span `json:"work"`   // ms a call
	Before int        `json:"before"` // number of calls still to be cut before they run
	After  int        `json:"after"`  // number of calls still to be cut after they ran
	Late   clock.Span `json:"late"`   // ms between the run and its answer
	Double bool       `json:"double"` // answer each call twice on its connection
	Swap   bool       `json:"swap"`   // answer with the id and result of the call before
	Bears  int        `json:"bears"`  // calls at once, answers 503 above, 0 for any number
}

// Run is one entry in the plain service's own record.
type Run struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// RunList is the answer to GET /runs.
type RunList struct {
	Runs []Run `json:"runs"`
}

// PlainAnswer is the answer to one call.
type PlainAnswer struct {
	ID     string `json:"id"`
	Result string `json:"result"`
}

// Plain stands in for a plain service.
type Plain struct {
	*Server
	fault   switches[PlainFault]
	mutex   sync.Mutex
	process string
	order   []string       // ids in the order of their first run
	runs    map[string]int // by id
	running int
	peak    int
	last    PlainAnswer
}

// NewPlain starts a plain service.
func NewPlain(address string) (*Plain, error) {
	p := &Plain{Server: newServer(), runs: map[string]int{}, process: newProcess()}
	p.fault.route(p.app)
	p.app.Get("/runs", func(c *fiber.Ctx) error { return c.JSON(p.Runs()) })
	p.app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(p.load()) })
	p.app.Post("/restart", func(c *fiber.Ctx) error { p.restartExcept(c.Context().Conn()); return nil })
	p.app.All("/*", p.call)
	return p, p.start(address)
}

// SetFault changes the fault switches.
func (p *Plain) SetFault(change func(*PlainFault)) {
	p.fault.set(change)
}

// Runs returns the record of all runs.
func (p *Plain) Runs() RunList {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := RunList{Runs: []Run{}}
	for _, id := range p.order {
		list.Runs = append(list.Runs, Run{ID: id, Count: p.runs[id]})
	}
	return list
}

// Count returns how often one id ran.
func (p *Plain) Count(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runs[id]
}

// Running returns the calls that run now.
func (p *Plain) Running() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running
}

// Peak returns the most calls that ran at once.
func (p *Plain) Peak() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peak
}

// Restart cuts all connections, as a process that dies and comes back; the record stays.
func (p *Plain) Restart() {
	p.restartExcept(nil)
}

// restartExcept leaves one connection open.
func (p *Plain) restartExcept(conn net.Conn) {
	p.mutex.Lock()
	p.process = newProcess()
	p.running = 0
	p.mutex.Unlock()
	p.listener.cut(conn)
}

func (p *Plain) load() Load {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Load{Incarnation: p.process, Running: p.running}
}

// take counts down one of the switches that hold for a number of calls.
func (p *Plain) take(field func(*PlainFault) *int) bool {
	taken := false
	p.fault.set(func(f *PlainFault) {
		if n := field(f); *n > 0 {
			*n--
			taken = true
		}
	})
	return taken
}

func (p *Plain) call(c *fiber.Ctx) error {
	if p.take(func(f *PlainFault) *int { return &f.Before }) {
		return c.Context().Conn().Close()
	}
	fault := p.fault.get()
	process, ok := p.begin(fault)
	if !ok {
		return fiber.ErrServiceUnavailable
	}
	id := c.Get("Request-Id")
	p.record(id)
	p.sleep(fault.Work)
	answer := PlainAnswer{ID: id, Result: Result(c.OriginalURL(), c.Body())}
	if !p.end(process) {
		return c.Context().Conn().Close()
	}
	if p.take(func(f *PlainFault) *int { return &f.After }) {
		return c.Context().Conn().Close()
	}
	p.sleep(fault.Late)
	answer = p.exchange(answer, fault.Swap)
	c.Set("Request-Id", answer.ID)
	if fault.Double {
		return p.double(c, answer)
	}
	return c.JSON(answer)
}

// begin takes a call in and returns the incarnation that runs it.
func (p *Plain) begin(fault PlainFault) (process string, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if fault.Bears > 0 && p.running >= fault.Bears {
		return "", false
	}
	p.running++
	p.peak = max(p.peak, p.running)
	return p.process, true
}

// end gives a call's place back and returns false where its incarnation is no more.
func (p *Plain) end(process string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.process != process {
		return false
	}
	p.running--
	return true
}

func (p *Plain) record(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runs[id] == 0 {
		p.order = append(p.order, id)
	}
	p.runs[id]++
}

// exchange returns the answer before this one where answers are swapped.
func (p *Plain) exchange(answer PlainAnswer, swap bool) PlainAnswer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if swap {
		answer, p.last = p.last, answer
		return answer
	}
	p.last = answer
	return answer
}

// double writes the answer itself and then lets the library write it again on the same connection.
func (p *Plain) double(c *fiber.Ctx, answer PlainAnswer) error {
	if err := c.JSON(answer); err != nil {
		return err
	}
	response := c.Response()
	response.Header.SetContentLength(len(response.Body()))
	raw := append(response.Header.Header(), response.Body()...)
	_, err := c.Context().Conn().Write(raw)
	return err
}
