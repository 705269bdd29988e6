package standin

import (
	"bufio"
	"sync"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

const (
	weightChunk = 64 << 10
	defaultRate = 64 << 20
)

// WeightFault holds the switches of the weight store.
type WeightFault struct {
	Rate int  `json:"rate"` // bytes a second, all readers together
	Down bool `json:"down"` // answer 503
}

// Weights stands in for the rate-limited weight store.
type Weights struct {
	*Server
	fault  switches[WeightFault]
	mutex  sync.Mutex
	free   clock.Time     // when the next chunk may leave
	rest   int            // thousandths of a byte-second not yet in free
	loaded map[string]int // bytes by name
}

// NewWeights starts a weight store that sends rate bytes a second, 0 for the default of 64 MiB.
func NewWeights(address string, rate int) (*Weights, error) {
	if rate == 0 {
		rate = defaultRate
	}
	w := &Weights{Server: newServer(), loaded: map[string]int{}}
	w.fault.value.Rate = rate
	w.fault.route(w.app)
	w.app.Get("/weights/:name", w.read)
	return w, w.start(address)
}

// SetFault changes the fault switches.
func (w *Weights) SetFault(change func(*WeightFault)) {
	w.fault.set(change)
}

// Loaded returns the bytes sent of one name.
func (w *Weights) Loaded(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.loaded[name]
}

func (w *Weights) read(c *fiber.Ctx) error {
	if w.fault.get().Down {
		return fiber.ErrServiceUnavailable
	}
	name, count := c.Params("name"), c.QueryInt("bytes")
	if count < 0 {
		return fiber.ErrBadRequest
	}
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(b *bufio.Writer) {
		if !w.send(b, name, count) {
			_ = conn.Close()
		}
	})
	return nil
}

func (w *Weights) send(b *bufio.Writer, name string, count int) bool {
	chunk := make([]byte, weightChunk)
	for count > 0 {
		size := min(count, weightChunk)
		if !w.sleep(w.reserve(name, size)) {
			return false
		}
		if _, err := b.Write(chunk[:size]); err != nil || b.Flush() != nil {
			return false
		}
		count -= size
	}
	return true
}

// reserve takes the next place in the stream of all readers and returns the wait for it.
func (w *Weights) reserve(name string, size int) clock.Span {
	rate := max(w.fault.get().Rate, 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	w.free = max(w.free, now)
	w.rest += size * int(clock.Second)
	w.free = w.free.Add(clock.Span(w.rest / rate))
	w.rest %= rate
	w.loaded[name] += size
	return w.free.Sub(now)
}
