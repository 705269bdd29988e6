package standin

import (
	"slices"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// maxCacheEvents is the maximum number of events in the log; beyond it, the older half is dropped.
const maxCacheEvents = 4096

// CacheEvent reports that a prefix entered or left the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // 16 hexadecimal digits
	Cached   bool   `json:"held"`   // true if the prefix entered the cache, false if it left
	at       clock.Time
}

// CacheList is the response to GET /cache.
type CacheList struct {
	Sequence uint64       `json:"sequence"` // of the newest event listed or dropped, or the request's "after" parameter if there is none
	Events   []CacheEvent `json:"events"`
}

// cache is the engine's prefix cache with a log of its changes.
type cache struct {
	prefixes []string // least recently used first
	events   []CacheEvent
	sequence uint64
}

func (c *cache) clear() {
	c.prefixes = nil
	c.events = nil
}

func (c *cache) recordEvent(prefix string, cached bool, now clock.Time) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Cached: cached, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Clone(c.events[maxCacheEvents/2:])
	}
}

// insert caches a prefix as the most recently used one, evicts the least recently used prefixes above limit, and reports whether it was already cached.
func (c *cache) insert(prefix string, limit int, now clock.Time) bool {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(prefix, true, now)
	for len(c.prefixes) > max(limit, 1) {
		c.recordEvent(c.prefixes[0], false, now)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (e *Engine) cachePrefix(prefix string, fault EngineFault) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cache.insert(prefix, fault.CacheSize, e.clock.Now())
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
		if fault.DropEvery == 0 || event.Sequence%fault.DropEvery != 0 {
			list.Events = append(list.Events, event)
		}
	}
	return c.JSON(list)
}
