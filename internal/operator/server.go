package operator

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"

	"carawaypick/internal/config"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// Paths of the operators' calls.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	PathState   = "/v1/state"
)

// Bounds of one operator's call.
const (
	maxHeader   = 8 << 10 // bytes
	readTimeout = 10 * clock.Second
	idleTimeout = 60 * clock.Second
)

// Views are the functions through which operators see a process.
type Views struct {
	Status  func() Status
	Explain func(key string) []Decision
	Ready   func() error           // nil where the process serves
	State   func() ([]byte, error) // folded state of the tickets as JSON
	Metrics *telemetry.Metrics
}

// Content returns the JSON answer to a status call, or to an explain call where key is not empty.
func (v Views) Content(key string) (content []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write status")
		}
	}()
	if key != "" {
		return json.Marshal(Answer{Decisions: v.Explain(key)})
	}
	s := v.Status()
	return json.Marshal(Answer{Status: &s})
}

// Register adds the operators' routes to app.
func Register(app *fiber.App, v Views) {
	app.Get(PathHealth, func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(PathReady, v.ready)
	app.Get(PathMetrics, v.metrics)
	app.Get(PathStatus, func(c *fiber.Ctx) error { return v.answer(c, "") })
	app.Get(PathExplain, v.explain)
	app.Get(PathState, v.state)
}

func (v Views) ready(c *fiber.Ctx) error {
	if err := v.Ready(); err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return c.SendString("ready\n")
}

func (v Views) metrics(c *fiber.Ctx) error {
	v.measure(v.Status())
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	v.Metrics.Write(c)
	return nil
}

// measure sets the gauges that show the same as the status.
func (v Views) measure(s Status) {
	m := v.Metrics
	m.Ticket.Set(float64(s.Number))
	m.Age.Set(float64(s.Age))
	m.Conflict.Set(float64(len(s.Conflicts)))
	m.Skipped.Set(float64(len(s.Skipped)))
	m.Ramp.Set(float64(s.Window))
	m.Running.Set(float64(s.Running))
	m.Queued.Set(float64(s.Queued))
	m.Bindings.Set(float64(s.Bindings))
	missing := uint64(0)
	if s.Missing != nil {
		missing = s.Missing.Number
	}
	m.Missing.Set(float64(missing))
	for _, g := range s.Groups {
		m.Skew.Get(g.Name).Set(g.Skew)
	}
}

func (v Views) explain(c *fiber.Ctx) error {
	key := c.Query("key")
	if key == "" {
		return fiber.NewError(fiber.StatusBadRequest, "key: got nothing, allowed a request id")
	}
	return v.answer(c, key)
}

func (v Views) answer(c *fiber.Ctx, key string) error {
	content, err := v.Content(key)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(content)
}

func (v Views) state(c *fiber.Ctx) error {
	content, err := v.State()
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(content)
}

// NewApp returns a bounded HTTP server with the operators' routes.
func NewApp(limits config.Limits, v Views) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             limits.Body,
		Concurrency:           limits.Connections,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           readTimeout.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
	})
	app.Use(recover.New())
	Register(app, v)
	return app
}
