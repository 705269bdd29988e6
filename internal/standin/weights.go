package standin

import (
	"bufio"
	"sync"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

const (
	chunkBytes            = 64 << 10
	defaultBytesPerSecond = 64 << 20
)

// WeightFault configures the rate and injected faults of the weight store.
type WeightFault struct {
	BytesPerSecond int  `json:"rate"` // total rate for all readers
	Down           bool `json:"down"` // answer reads with 503
}

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	*Server
	fault     faultState[WeightFault]
	mutex     sync.Mutex
	nextSend  clock.Time     // earliest time of the next chunk
	remainder int            // thousandths of a byte that nextSend doesn't account for yet
	bytesSent map[string]int // by name of the weights
}

// NewWeights starts a weight store that sends rate bytes per second, 0 for the default of 64 MiB.
func NewWeights(address string, rate int) (*Weights, error) {
	if rate == 0 {
		rate = defaultBytesPerSecond
	}
	w := &Weights{Server: newServer(), bytesSent: map[string]int{}}
	w.fault.value.BytesPerSecond = rate
	w.fault.route(w.app)
	w.app.Get("/weights/:name", w.read)
	return w, w.start(address)
}

// SetFault changes the injected faults.
func (w *Weights) SetFault(change func(*WeightFault)) {
	w.fault.set(change)
}

// BytesSent returns the number of bytes sent of the weights with this name.
func (w *Weights) BytesSent(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.bytesSent[name]
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
		if !w.sendChunks(b, name, count) {
			_ = conn.Close()
		}
	})
	return nil
}

func (w *Weights) sendChunks(b *bufio.Writer, name string, count int) bool {
	chunk := make([]byte, chunkBytes)
	for count > 0 {
		size := min(count, chunkBytes)
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

// reserve accounts for size bytes at the rate that all readers share and returns the delay before they may be sent.
func (w *Weights) reserve(name string, size int) clock.Span {
	rate := max(w.fault.get().BytesPerSecond, 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	w.nextSend = max(w.nextSend, now)
	w.remainder += size * int(clock.Second)
	w.nextSend = w.nextSend.Add(clock.Span(w.remainder / rate))
	w.remainder %= rate
	w.bytesSent[name] += size
	return w.nextSend.Sub(now)
}
