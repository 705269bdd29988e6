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
	rescanInterval = 100 * clock.Millisecond
	readsPerSecond = 2000
	answerBytes    = 1 << 20
	snapshotFile   = "snapshot.json"
)

// TicketFault holds the fault switches of the configuration service.
type TicketFault struct {
	Stale  uint64     `json:"stale"`  // highest number that is answered, 0 for all
	Down   bool       `json:"down"`   // answer 503
	Slow   clock.Span `json:"slow"`   // ms before each answer
	Hidden []uint64   `json:"hidden"` // numbers that are not answered
}

// Tickets stands in for the configuration service.
type Tickets struct {
	*Server
	folder   string
	fault    switches[TicketFault]
	mutex    sync.Mutex
	contents map[uint64][]json.RawMessage // at most two a number
	snapshot json.RawMessage
	changed  chan struct{}
	calls    uint64
	second   clock.Time
	reads    int
	refused  uint64
}

type ticketNumber struct {
	Number uint64 `json:"number"`
}

type ticketList struct {
	Tickets []json.RawMessage `json:"tickets"`
}

// CallCount tells how often the configuration service was read.
type CallCount struct {
	Calls   uint64 `json:"calls"`
	Refused uint64 `json:"refused"` // over the limit of reads a second
}

// NewTickets starts a configuration service that publishes the numbered files of folder, which may be empty.
func NewTickets(address, folder string) (*Tickets, error) {
	t := &Tickets{Server: newServer(), folder: folder, contents: map[uint64][]json.RawMessage{}, changed: make(chan struct{})}
	t.fault.changed = t.wake
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

// Publish adds a ticket; another content under a known number becomes its second content.
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
	t.wakeLocked()
	return nil
}

// PublishSnapshot sets the answer to GET /snapshot.
func (t *Tickets) PublishSnapshot(content []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.snapshot = slices.Clone(content)
}

// SetFault changes the fault switches.
func (t *Tickets) SetFault(change func(*TicketFault)) {
	t.fault.set(change)
}

// Calls returns how often the service was read.
func (t *Tickets) Calls() CallCount {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return CallCount{Calls: t.calls, Refused: t.refused}
}

func (t *Tickets) wake() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wakeLocked()
}

func (t *Tickets) wakeLocked() {
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

// admit counts one read and returns its place among all reads, or an error where the service refuses.
func (t *Tickets) admit() (uint64, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls++
	second := t.clock.Now() / clock.Time(clock.Second)
	if second != t.second {
		t.second, t.reads = second, 0
	}
	t.reads++
	if t.reads > readsPerSecond {
		t.refused++
		return 0, fiber.ErrTooManyRequests
	}
	return t.calls, nil
}

func (t *Tickets) enter() (uint64, error) {
	call, err := t.admit()
	if err != nil {
		return 0, err
	}
	fault := t.fault.get()
	if !t.sleep(fault.Slow) || fault.Down {
		return 0, fiber.ErrServiceUnavailable
	}
	return call, nil
}

func (t *Tickets) read(c *fiber.Ctx) error {
	call, err := t.enter()
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
		list, changed := t.after(after, call)
		left := until.Sub(t.clock.Now())
		if len(list) > 0 || left <= 0 {
			return c.JSON(ticketList{Tickets: list})
		}
		if !t.await(changed, left) {
			return fiber.ErrServiceUnavailable
		}
	}
}

// await returns at a change or after the span, and false where the stand-in stops.
func (t *Tickets) await(changed <-chan struct{}, span clock.Span) bool {
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

// after returns the contents above a number, and the channel that closes at the next change.
func (t *Tickets) after(after, call uint64) ([]json.RawMessage, <-chan struct{}) {
	fault := t.fault.get()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	numbers := make([]uint64, 0, len(t.contents))
	for n := range t.contents {
		stale := fault.Stale > 0 && n > fault.Stale
		if n > after && !stale && !slices.Contains(fault.Hidden, n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	list, size := []json.RawMessage{}, 0
	for _, n := range numbers {
		contents := t.contents[n]
		content := contents[int(call)%len(contents)]
		if size += len(content); size > answerBytes && len(list) > 0 {
			break
		}
		list = append(list, content)
	}
	return list, t.changed
}

func (t *Tickets) readSnapshot(c *fiber.Ctx) error {
	if _, err := t.enter(); err != nil {
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
