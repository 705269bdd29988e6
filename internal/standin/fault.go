package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// faultState holds the injected faults of one stand-in.
type faultState[T any] struct {
	mutex    sync.Mutex
	value    T
	onChange func() // called after each change, may be nil
}

func (s *faultState[T]) get() T {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.value
}

func (s *faultState[T]) set(change func(*T)) {
	s.mutex.Lock()
	change(&s.value)
	s.mutex.Unlock()
	if s.onChange != nil {
		s.onChange()
	}
}

// route serves GET /fault, and POST /fault, which sets only the fields in the body.
func (s *faultState[T]) route(app *fiber.App) {
	app.Post("/fault", func(c *fiber.Ctx) error {
		var err error
		s.set(func(value *T) { err = json.Unmarshal(c.Body(), value) })
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		return c.JSON(s.get())
	})
	app.Get("/fault", func(c *fiber.Ctx) error { return c.JSON(s.get()) })
}

// Sleep waits for the span and returns false if ctx ends first.
func Sleep(ctx context.Context, span clock.Span) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := newTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newTimer(span clock.Span) *time.Timer {
	return time.NewTimer(span.Duration())
}
