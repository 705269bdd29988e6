package standin

import (
	"slices"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

const cacheEvents = 4096

// CacheEvent tells that a prefix was taken into the engine's memory or left it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // 16 hexadecimal digits
	Held     bool   `json:"held"`
	at       clock.Time
}

// CacheList is the answer to GET /cache.
type CacheList struct {
	Sequence uint64       `json:"sequence"` // of the last event shown or lost
	Events   []CacheEvent `json:"events"`
}

// cache holds the prefixes in the engine's memory, the oldest first.
type cache struct {
	held     []string
	events   []CacheEvent
	sequence uint64
}

func (c *cache) clear() {
	c.held = nil
	c.events = nil
}

func (c *cache) add(prefix string, held bool, now clock.Time) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Held: held, at: now})
	if len(c.events) > cacheEvents {
		c.events = slices.Clone(c.events[cacheEvents/2:])
	}
}

// hold takes a prefix in and returns whether it was held before.
func (c *cache) hold(prefix string, memory int, now clock.Time) bool {
	if i := slices.Index(c.held, prefix); i >= 0 {
		c.held = append(slices.Delete(c.held, i, i+1), prefix)
		return true
	}
	c.held = append(c.held, prefix)
	c.add(prefix, true, now)
	for len(c.held) > max(memory, 1) {
		c.add(c.held[0], false, now)
		c.held = c.held[1:]
	}
	return false
}

func (e *Engine) holdPrefix(prefix string, fault EngineFault) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cache.hold(prefix, fault.Memory, e.clock.Now())
}

func (e *Engine) readCache(c *fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return fiber.ErrBadRequest
	}
	fault := e.fault.get()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := CacheList{Sequence: after, Events: []CacheEvent{}}
	now := e.clock.Now()
	for _, event := range e.cache.events {
		if event.Sequence <= after || now.Sub(event.at) < fault.Lag {
			continue
		}
		list.Sequence = event.Sequence
		if fault.Gap == 0 || event.Sequence%fault.Gap != 0 {
			list.Events = append(list.Events, event)
		}
	}
	return c.JSON(list)
}
