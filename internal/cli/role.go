package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel"

	"carawaypick/internal/config"
	"carawaypick/internal/peer"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// closeTimeout is the time in ms to flush logs and traces at exit.
const closeTimeout = 5 * clock.Second

// Role runs a process of one role until ctx ends, and returns once the process has drained.
type Role func(ctx context.Context, s config.Settings, t *telemetry.Telemetry) error

// settingsOptions holds the settings file and the flags that override it.
type settingsOptions struct {
	Settings string   `long:"settings" value-name:"FILE" description:"Settings file in JSON; variables such as CARAWAYPICK_TIMING_TTL override it"`
	Name     string   `long:"name" description:"Name of the process, in place of name"`
	Zone     string   `long:"zone" description:"Availability zone, in place of zone"`
	Listen   string   `long:"listen" value-name:"IP:PORT" description:"Address of the HTTP server, in place of listen"`
	Peer     string   `long:"peer" value-name:"IP:PORT" description:"Address of the gRPC server, in place of peer"`
	Set      []string `long:"set" value-name:"FIELD=VALUE" description:"Any other field by its path, such as timing.ttl=5000 (ms); may be repeated"`
}

func (o settingsOptions) load(environ []string) (s config.Settings, origins config.Origins, err error) {
	overrides, err := o.overrides()
	if err != nil {
		return s, nil, err
	}
	return config.Load(o.Settings, environ, overrides)
}

func (o settingsOptions) overrides() (all []config.Override, err error) {
	named := []config.Override{
		{Flag: "--name", Field: "name", Value: o.Name},
		{Flag: "--zone", Field: "zone", Value: o.Zone},
		{Flag: "--listen", Field: "listen", Value: o.Listen},
		{Flag: "--peer", Field: "peer", Value: o.Peer},
	}
	for _, n := range named {
		if n.Value != "" {
			all = append(all, n)
		}
	}
	for _, pair := range o.Set {
		field, value, found := splitPair(pair)
		if !found {
			return nil, &usageError{"--set: got " + pair + ", allowed FIELD=VALUE"}
		}
		all = append(all, config.Override{Flag: "--set", Field: field, Value: value})
	}
	return all, nil
}

// roleCommand implements the commands entry and agent.
type roleCommand struct {
	settingsOptions
	app  *app
	role string
}

// Execute runs the process until SIGINT or SIGTERM.
func (c *roleCommand) Execute([]string) (err error) {
	if c.Settings == "" {
		return &usageError{"--settings is needed"}
	}
	s, _, err := c.load(c.app.environ)
	if err != nil {
		return err
	}
	if err := s.CheckRole(c.role); err != nil {
		return err
	}
	run, found := c.app.roles[c.role]
	if !found {
		return errors.Newf("this build has no %s", c.role)
	}
	t, err := telemetry.Open(s, c.role, c.app.stdout, c.app.stderr)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, closeTelemetry(t)) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process immediately
	return serve(ctx, run, s, t)
}

// serve runs the role and logs its start and end.
func serve(ctx context.Context, run Role, s config.Settings, t *telemetry.Telemetry) error {
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		level.Warn(t.Logger).Log("msg", "trace export failed", "error", err)
	}))
	level.Info(t.Logger).Log("msg", "started", "listen", s.Listen, "peer", s.Peer, "zone", s.Zone)
	if !peer.RequiresAuth(s) {
		level.Warn(t.Logger).Log("msg", "callers of the peer address are not checked: neither key nor certs is set", "peer", s.Peer)
	}
	err := run(ctx, s, t)
	if err != nil {
		level.Error(t.Logger).Log("msg", "ended", "error", err)
		return err
	}
	level.Info(t.Logger).Log("msg", "ended")
	return nil
}

func closeTelemetry(t *telemetry.Telemetry) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	return t.Close(ctx)
}
