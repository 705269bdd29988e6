package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/engine"
	"carawaypick/internal/kernel"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	sweepPeriod  = 250 * clock.Millisecond
	memoryPart   = 0.6                     // part of the instance's memory that the runtime may use before it collects hard
	acceptFor    = 3 * clock.Second        // after the signal to stop, new connections are still taken so long
	exitMargin   = 700 * clock.Millisecond // before the kill, in which what is left is ended
	metricsRoute = "/metrics"
)

// Run serves callers until ctx ends, then leaves.
//
// Each value on reload is a new version of the settings; the listening addresses need a restart.
func Run(ctx context.Context, s Settings, wire Wire, reload <-chan Reload, stdout io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	output := telemetry.NewBounded()
	written := kernel.Start(inner, func(ctx context.Context) error { return output.Run(ctx, stdout) })
	logger, err := telemetry.NewLogger(output, "info", s.Name, "entry")
	if err != nil {
		return err
	}
	e := newEntry(s, wire, clock.New(), telemetry.NewMetrics(), logger)
	level.Info(logger).Log("msg", "started", "zone", s.Zone, "front", s.Front, "store", s.Store, "seeds", len(s.Seeds), "pid", os.Getpid())
	work, servers, err := e.start(inner)
	if err != nil {
		return err
	}
	err = e.attend(ctx, work, reload)
	e.leave(servers)
	level.Info(logger).Log("msg", "stopped", "active", e.active.Load(), "dropped", output.Dropped.Load())
	cancel()
	return errors.CombineErrors(err, <-written)
}

func newEntry(s Settings, wire Wire, c clock.Clock, metrics *telemetry.Metrics, logger log.Logger) *Entry {
	e := &Entry{
		wire:    wire,
		clock:   c,
		board:   NewBoard(c),
		conns:   newConnPool(c),
		metrics: metrics,
		turns:   newTurns(),
	}
	e.settings.Store(&s)
	e.journal = &telemetry.Journal{Logger: logger, Clock: c, Plain: map[string]bool{"whole": true}}
	e.belief = NewBelief(wire.Decode, c, logger, func(v *routing.View) { e.board.Forget(v) })
	born := clock.Wall()
	e.peers = NewPeers(s, c, logger, e.board, func() beat {
		return beat{
			Name: s.Name, Zone: s.Zone, IP: s.IP, Front: s.Front, Control: s.Control, Born: born,
			Ready: e.ready(), Lost: e.reader.Lost(), Revision: e.belief.Changed(), Flights: e.board.Flights(), Costs: e.costs(),
		}
	}, func(address string) engine.Roster { return roster(e.belief.View(), address) })
	e.reader = &Reader{Wire: wire, Belief: e.belief, Clock: c, Logger: logger, Following: Following{
		Reads: e.peers.Reads, Follow: e.follow, News: e.peers.News, Tell: e.peers.Tell,
	}}
	e.budget = newRetryBudget(s, e.peers.Part)
	return e
}

// start opens the servers and starts the loops; the first loop that fails ends the entry.
func (e *Entry) start(ctx context.Context) (work chan error, servers []*http.Server, err error) {
	s := *e.settings.Load()
	work = make(chan error, 8)
	run := func(name string, loop func(context.Context) error) {
		ended := kernel.Start(ctx, loop)
		go func() { work <- errors.Wrap(<-ended, name) }()
	}
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"front", s.Front, e},
		{"ready", s.Ready, e.readyHandler()},
		{"directory", s.Directory, e.directoryHandler()},
		{"control", s.Control, e.controlHandler()},
		{"metrics", net.JoinHostPort(s.IP, metricsPort), e.metricsHandler()},
	}
	for _, h := range handlers {
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen for %s", h.name)
		}
		server := &http.Server{
			Handler:           h.handler,
			ReadHeaderTimeout: headerLimit.Duration(),
			IdleTimeout:       idleLimit.Duration(),
		}
		servers = append(servers, server)
		run(h.name, func(context.Context) error { return server.Serve(listener) })
	}
	run("store", e.reader.Run)
	run("peers", func(ctx context.Context) error { return e.peers.Run(ctx, s.IP) })
	run("sweep", e.sweep)
	run("turns", e.watchTurns)
	return work, servers, nil
}

// Reload is a new version of the settings, or why it can't be used.
type Reload struct {
	Settings Settings
	Fault    error
}

// attend takes in new settings until ctx or the work ends.
func (e *Entry) attend(ctx context.Context, work <-chan error, reload <-chan Reload) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-work:
			return err
		case r := <-reload:
			if r.Fault != nil {
				level.Warn(e.journal.Logger).Log("msg", "new settings refused, the old ones stay", "error", r.Fault)
				continue
			}
			old := e.settings.Swap(&r.Settings)
			e.peers.Seed(r.Settings)
			level.Info(e.journal.Logger).Log("msg", "settings reloaded", "seeds", len(r.Settings.Seeds),
				"restart", old.Front != r.Settings.Front || old.Control != r.Settings.Control || old.Store != r.Settings.Store)
		}
	}
}

// sweep drops what is past its time.
func (e *Entry) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.belief.Sweep()
			view := e.belief.View()
			e.conns.sweep(func(id string) bool { return view.Servers[id] != nil })
		}
	}
}

// watchTurns looks after what waits.
func (e *Entry) watchTurns(ctx context.Context) error {
	ticker := time.NewTicker(turnPeriod.Duration())
	defer ticker.Stop()
	for looks := 1; ; looks++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.dispatch()
			if looks%turnsEach == 0 {
				e.observe()
			}
		}
	}
}

func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsRoute, func(w http.ResponseWriter, _ *http.Request) { e.metrics.Write(w) })
	return mux
}

// leave serves on while callers may still hold this address, then finishes what is in progress.
func (e *Entry) leave(servers []*http.Server) {
	start, grace := e.clock.Now(), e.settings.Load().Grace
	e.leaving.Store(true)
	level.Info(e.journal.Logger).Log("msg", "leaving", "active", e.active.Load(), "grace", grace)
	last := start.Add(max(grace-exitMargin, 0))
	time.Sleep(min(acceptFor, grace/2).Duration())
	ctx, cancel := until(context.Background(), e.clock, last)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			level.Warn(e.journal.Logger).Log("msg", "server closed with work left", "error", err, "active", e.active.Load())
			_ = server.Close() // nothing more can be done for its connections
		}
	}
}

// roster returns the group of the engine at the address, as the view has it.
func roster(v *routing.View, address string) (r engine.Roster) {
	var own *routing.Server
	for _, s := range v.Servers {
		if s.Address == address && s.Group != "" {
			own = s
		}
	}
	if own == nil || v.Table == nil {
		return r
	}
	known := v.Table.Services[own.Service].Engine
	r.Shape = engine.Shape{
		Sets: known.Sets, Experts: known.Experts, Places: known.Places, Spare: known.Spare,
		ExpertMB: known.ExpertMB, LinkMbps: known.LinkMbps,
	}
	for _, s := range v.Servers {
		host, _, err := net.SplitHostPort(s.Address)
		if err == nil && s.Group == own.Group && s.Service == own.Service && s.GoneAt == 0 {
			r.Members = append(r.Members, engine.Member{Rank: s.Rank, IP: host, Engine: s.Address})
		}
	}
	return r
}
