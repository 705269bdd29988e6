package operator

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"

	"carawaypick/internal/config"
	"carawaypick/internal/intake"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// HTTP paths for operators.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	PathState   = "/v1/state"
)

// Bounds of the HTTP server.
const (
	maxHeaderBytes = 8 << 10           // request line and headers
	readTimeout    = 10 * clock.Second // for one request
	idleTimeout    = 60 * clock.Second // time without a request after which a connection is closed
)

// Views are the functions of a process that back the operator routes.
type Views struct {
	Status  func() Status
	Explain func(key string) []Decision
	Ready   func() error           // returns nil if the process can serve
	State   func() ([]byte, error) // state of the configuration in force as JSON
	Metrics *telemetry.Metrics
}

// Content returns the JSON body of a status response or, if key is not empty, of an explain response.
func (v Views) Content(key string) (content []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write status")
		}
	}()
	if key != "" {
		return json.Marshal(Response{Decisions: v.Explain(key)})
	}
	s := v.Status()
	return json.Marshal(Response{Status: &s})
}

// RegisterRoutes adds the operator routes to app.
func RegisterRoutes(app *fiber.App, v Views) {
	app.Get(PathHealth, func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(PathReady, v.ready)
	app.Get(PathMetrics, v.metrics)
	app.Get(PathStatus, func(c *fiber.Ctx) error { return v.writeContent(c, "") })
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
	v.updateGauges(v.Status())
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	v.Metrics.Write(c)
	return nil
}

// updateGauges sets the gauges that are derived from the status.
func (v Views) updateGauges(s Status) {
	m := v.Metrics
	m.TicketNumber.Set(float64(s.Number))
	m.TicketAge.Set(float64(s.Age))
	m.TicketConflicts.Set(float64(len(s.Conflicts)))
	m.TicketsSkipped.Set(float64(len(s.Skipped)))
	m.SlowStartWindow.Set(float64(s.Window))
	m.Running.Set(float64(s.Running))
	m.Queued.Set(float64(s.Queued))
	m.Bindings.Set(float64(s.Bindings))
	missing := uint64(0)
	if s.Missing != nil {
		missing = s.Missing.Number
	}
	m.MissingTicket.Set(float64(missing))
	for _, g := range s.Groups {
		m.Skew.Get(g.Name).Set(g.Skew)
	}
}

func (v Views) explain(c *fiber.Ctx) error {
	key := c.Query("key")
	if key == "" {
		return fiber.NewError(fiber.StatusBadRequest, "key: got nothing, allowed a request id")
	}
	return v.writeContent(c, key)
}

func (v Views) writeContent(c *fiber.Ctx, key string) error {
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

// PinRequest is a handler that lets a request which was received whole stay in memory until it is answered.
func PinRequest(c *fiber.Ctx) error {
	if conn, ok := c.Context().Conn().(*intake.Conn); ok {
		conn.Holder().Pin() // an evicted one has lost its connection already
	}
	return c.Next()
}

// NewApp returns an HTTP server with the operator routes and the given limits.
func NewApp(limits config.Limits, v Views) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             limits.MaxBodyBytes,
		Concurrency:           limits.MaxConnections,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
		ReduceMemoryUsage:     true, // a connection without a request keeps no buffer of the last body
	})
	app.Use(recover.New())
	app.Use(PinRequest)
	RegisterRoutes(app, v)
	return app
}
