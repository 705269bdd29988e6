package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

const (
	rescanInterval    = 100 * clock.Millisecond
	maxReadsPerSecond = 2000
	maxResponseBytes  = 1 << 20
	snapshotFile      = "snapshot.json"
)

// TicketFault configures the injected faults of the configuration service.
type TicketFault struct {
	MaxNumber uint64     `json:"stale"`  // highest ticket number that reads return, 0 for unlimited
	Down      bool       `json:"down"`   // answer reads with 503
	Delay     clock.Span `json:"slow"`   // ms before each response
	Hidden    []uint64   `json:"hidden"` // ticket numbers that reads omit
}

// Tickets is a stand-in for the configuration service.
type Tickets struct {
	*Server
	folder          string
	fault           faultState[TicketFault]
	mutex           sync.Mutex
	contents        map[uint64][]json.RawMessage // by ticket number: the first content and at most one conflicting content
	snapshot        json.RawMessage
	changed         chan struct{} // closed and replaced at each change
	calls           uint64
	countedSecond   clock.Time // time of the clock, in whole seconds, of the second that readsThisSecond counts
	readsThisSecond int
	rejected        uint64
}

type ticketNumber struct {
	Number uint64 `json:"number"`
}

type ticketList struct {
	Tickets []json.RawMessage `json:"tickets"`
}

// CallCount is the number of reads of the configuration service.
type CallCount struct {
	Calls    uint64 `json:"calls"`
	Rejected uint64 `json:"refused"` // number of reads rejected above the limit of reads per second
}

// NewTickets starts a configuration service. If folder isn't empty, the service publishes the folder's numbered files and
// snapshot.json.
func NewTickets(address, folder string) (*Tickets, error) {
	t := &Tickets{Server: newServer(), folder: folder, contents: map[uint64][]json.RawMessage{}, changed: make(chan struct{})}
	t.fault.onChange = t.notify
	t.fault.route(t.app)
	t.app.Get("/tickets", t.read)
	t.app.Get("/snapshot", t.readSnapshot)
	t.app.Get("/calls", func(c *fiber.Ctx) error { return c.JSON(t.Calls()) })
	t.app.Post("/publish", func(c *fiber.Ctx) error { return badRequest(t.Publish(c.Body())) })
	t.app.Post("/snapshot", func(c *fiber.Ctx) error { t.PublishSnapshot(c.Body()); return nil })
	if folder != "" {
		t.rescan()
		t.every(rescanInterval, t.rescan)
	}
	return t, t.start(address)
}

// Publish adds a ticket. A different content under a known number is stored as the number's conflicting content and
// replaces an earlier conflicting content.
func (t *Tickets) Publish(content []byte) (err error) {
	defer func() { err = errors.Wrap(err, "publish ticket") }()
	var ticket ticketNumber
	if err := json.Unmarshal(content, &ticket); err != nil {
		return err
	}
	if ticket.Number == 0 {
		return errors.New("ticket without a number")
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.contents[ticket.Number]
	for _, k := range known {
		if string(k) == string(content) {
			return nil
		}
	}
	if len(known) == 2 {
		known = known[:1]
	}
	t.contents[ticket.Number] = append(known, slices.Clone(content))
	t.notifyLocked()
	return nil
}

// PublishSnapshot sets the response to GET /snapshot.
func (t *Tickets) PublishSnapshot(content []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.snapshot = slices.Clone(content)
}

// SetFault changes the injected faults.
func (t *Tickets) SetFault(change func(*TicketFault)) {
	t.fault.set(change)
}

// Calls returns the number of reads so far.
func (t *Tickets) Calls() CallCount {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return CallCount{Calls: t.calls, Rejected: t.rejected}
}

func (t *Tickets) notify() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.notifyLocked()
}

func (t *Tickets) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tickets) rescan() {
	paths, _ := filepath.Glob(filepath.Join(t.folder, "*.json"))
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil || !json.Valid(content) {
			continue
		}
		name := filepath.Base(path)
		if name == snapshotFile {
			t.PublishSnapshot(content)
		}
		if _, err := strconv.ParseUint(strings.TrimSuffix(name, ".json"), 10, 64); err == nil {
			_ = t.Publish(content)
		}
	}
}

// admit counts one read and returns its sequence number, or an error with status 429 above the limit of reads per second.
func (t *Tickets) admit() (uint64, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls++
	second := t.clock.Now() / clock.Time(clock.Second)
	if second != t.countedSecond {
		t.countedSecond, t.readsThisSecond = second, 0
	}
	t.readsThisSecond++
	if t.readsThisSecond > maxReadsPerSecond {
		t.rejected++
		return 0, fiber.ErrTooManyRequests
	}
	return t.calls, nil
}

// startRead admits one read and applies the injected delay and outage.
func (t *Tickets) startRead() (uint64, error) {
	call, err := t.admit()
	if err != nil {
		return 0, err
	}
	fault := t.fault.get()
	if !t.sleep(fault.Delay) || fault.Down {
		return 0, fiber.ErrServiceUnavailable
	}
	return call, nil
}

func (t *Tickets) read(c *fiber.Ctx) error {
	call, err := t.startRead()
	if err != nil {
		return err
	}
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return fiber.ErrBadRequest
	}
	until := t.clock.Now().Add(clock.Span(c.QueryInt("wait")))
	for {
		if t.fault.get().Down {
			return fiber.ErrServiceUnavailable
		}
		list, changed := t.ticketsAfter(after, call)
		left := until.Sub(t.clock.Now())
		if len(list) > 0 || left <= 0 {
			return c.JSON(ticketList{Tickets: list})
		}
		if !t.waitForChange(changed, left) {
			return fiber.ErrServiceUnavailable
		}
	}
}

// waitForChange blocks until a change or the end of the span, and returns false if the service stops first.
func (t *Tickets) waitForChange(changed <-chan struct{}, span clock.Span) bool {
	timer := newTimer(span)
	defer timer.Stop()
	select {
	case <-t.context.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// ticketsAfter returns the contents of the tickets above a number in ascending order, up to maxResponseBytes but at least one,
// and the channel that is closed at the next change.
//
// If a number has two contents, reads with an even sequence number get the first and the others the second.
func (t *Tickets) ticketsAfter(after, call uint64) ([]json.RawMessage, <-chan struct{}) {
	fault := t.fault.get()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	numbers := make([]uint64, 0, len(t.contents))
	for n := range t.contents {
		stale := fault.MaxNumber > 0 && n > fault.MaxNumber
		if n > after && !stale && !slices.Contains(fault.Hidden, n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	list, size := []json.RawMessage{}, 0
	for _, n := range numbers {
		contents := t.contents[n]
		content := contents[int(call)%len(contents)]
		if size += len(content); size > maxResponseBytes && len(list) > 0 {
			break
		}
		list = append(list, content)
	}
	return list, t.changed
}

func (t *Tickets) readSnapshot(c *fiber.Ctx) error {
	if _, err := t.startRead(); err != nil {
		return err
	}
	t.mutex.Lock()
	content := t.snapshot
	t.mutex.Unlock()
	if content == nil {
		return fiber.ErrNotFound
	}
	c.Type("json")
	return c.Send(content)
}

func badRequest(err error) error {
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return nil
}
