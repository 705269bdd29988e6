package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/engine"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/memory"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	cleanupInterval = 250 * clock.Millisecond // between two removals of expired backend servers and idle connections
	drainAcceptTime = 3 * clock.Second        // maximum time after the stop signal for which new connections are accepted
	exitMargin      = 700 * clock.Millisecond // between the drain deadline and the kill, to close the remaining connections
	metricsRoute    = "/metrics"
)

// Run serves callers until ctx ends, then drains; it returns an error if a server or a loop fails.
//
// Each value on reload is a new version of the settings. Its seeds, zone, directory TTL and shutdown grace take effect at
// once, the other settings after a restart. The directory lists a new front address at once, although the entry serves it
// only after a restart.
func Run(ctx context.Context, s Settings, protocol Protocol, reload <-chan Reload, stdout io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	limitMemory(s)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	output := telemetry.NewBoundedWriter()
	written := lifecycle.Start(inner, func(ctx context.Context) error { return output.Run(ctx, stdout) })
	logger, err := telemetry.NewLogger(output, "info", s.Name, "entry")
	if err != nil {
		return err
	}
	e := newEntry(s, protocol, clock.New(), telemetry.NewMetrics(), logger)
	level.Info(logger).Log("msg", "started", "zone", s.Zone, "front", s.Front, "store", s.Store, "seeds", len(s.Seeds), "pid", os.Getpid())
	work, servers, err := e.start(inner)
	if err != nil {
		return err
	}
	err = e.waitForExit(ctx, work, reload)
	e.drain(servers)
	level.Info(logger).Log("msg", "stopped", "active", e.active.Load(), "dropped", output.Dropped.Load())
	cancel()
	return errors.CombineErrors(err, <-written)
}

func newEntry(s Settings, protocol Protocol, c clock.Clock, metrics *telemetry.Metrics, logger log.Logger) *Entry {
	e := &Entry{
		protocol:  protocol,
		clock:     c,
		loads:     NewLoadTracker(c),
		conns:     newConnPool(c),
		metrics:   metrics,
		admission: newAdmission(),
		joined:    make(chan struct{}),
	}
	e.suspects = newSuspectSet(c)
	e.memory = newShares(s, c)
	e.memory.budget.OnPressure = e.recordPressure
	e.settings.Store(&s)
	e.limitedLogger = &telemetry.RateLimitedLogger{Logger: logger, Clock: c, RoutineKinds: map[string]bool{"whole": true}}
	e.state = NewClusterState(s, protocol.DecodeChange, c, logger, func(v *routing.View) {
		e.loads.Prune(v)
		if !e.hasJoined() {
			wake(e.peers.Heard)
		}
	})
	born := clock.Wall()
	e.peers = NewPeerSet(s, c, logger, e.loads, func() heartbeat {
		news := e.suspects.nextNews()
		changed, confirmed := e.state.Confirmation()
		era, revision := changed.Numbers()
		return heartbeat{
			Confirmed: confirmed,
			Crashes:   news.Crashes, Completed: news.Completed, CompletedParts: news.CompletedParts, Evidence: e.suspects.digest(),
			Name: s.Name, Zone: s.Zone, IP: s.IP, Front: s.Front, Control: s.Control, Born: born,
			Ready: e.ready(), Lost: e.reader.Lost(), Era: era, Revision: revision, Version: e.state.ConfigVersion(), Flights: e.loads.InFlight(), Costs: e.ownCosts(), Rates: e.loads.RateReports(),
			Leaving: e.loads.LeavingReports(), Taking: e.loads.RecoveredReports(), Capacity: e.loads.CapacityReports(),
			Demand: e.ownDemand(),
			Cores:  s.Cores, Full: e.full.Load(),
		}
	}, func(query memberQuery) engine.MemberList {
		list := memberList(e.state.View(), query, c.Now())
		list.Coordinated = len(list.Members) > 0 && e.coordinated()
		return list
	})
	e.loads.entries, e.loads.drainTime = e.peers.Entries, s.DrainTime
	e.peers.OnEvidence, e.peers.OnRates, e.peers.OnLeaving = e.receiveEvidence, e.receiveRateReports, e.receiveLeavingReports
	e.loads.Bounds, e.loads.Coordinated, e.peers.OnCapacity = s.Capacity, e.coordinated, e.receiveCapacityReports
	e.peers.OnConfirmation = e.state.AdoptConfirmation
	e.peers.OnDemand = e.receiveDemand
	e.peers.Memory = e.memory.peers
	e.reader = &StoreReader{Protocol: protocol, State: e.state, Clock: c, Logger: logger, PeerSync: PeerSync{
		ShouldRead: func(lost bool) bool { return e.peers.ShouldReadStore(lost, e.state.Position()) }, Pull: e.pullState, Updates: e.peers.Updates, Notify: e.peers.Notify,
		Readers:  func(lost bool) (rank, count int) { return e.peers.StoreReaders(lost, e.state.Position()) },
		Settings: func() Settings { return *e.settings.Load() },
	}}
	e.reader.lost.Store(true) // until the store answers
	e.retries = newRetryBudget(s, c.Now(), e.peers.Entries)
	e.registerProgress()
	e.registerMemory()
	return e
}

// start starts the HTTP servers and the background loops; work receives the result of each, and the first result ends
// the entry.
func (e *Entry) start(ctx context.Context) (work chan error, servers []*http.Server, err error) {
	s := *e.settings.Load()
	work = make(chan error, 16)
	run := func(name string, loop func(context.Context) error) {
		ended := lifecycle.Start(ctx, loop)
		go func() { work <- errors.Wrap(<-ended, name) }()
	}
	operators := func() int { return operatorMaxHead }
	small := func() int64 { return 0 }
	ports := []struct {
		name, address string
		share         *memory.Share
		maxHead       func() int
		handler       http.Handler
	}{
		{"front", s.Front, e.memory.front, e.maxHead, e},
		{"ready", s.Ready, e.memory.ready, operators, counted(small, e.readyHandler())},
		{"directory", s.Directory, e.memory.directory, e.maxHead, counted(small, e.directoryHandler())},
		{"control", s.Control, e.memory.control, operators, counted(e.stateCost, e.peerHandler())},
		{"metrics", net.JoinHostPort(s.IP, MetricsPort), e.memory.metrics, operators, counted(func() int64 { return metricsCost }, e.metricsHandler())},
	}
	for _, p := range ports {
		listener, server, err := e.listen(ctx, p.address, p.share, p.maxHead, p.handler)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, server)
		run(p.name, func(context.Context) error { return server.Serve(listener) })
	}
	run("store", e.reader.Run)
	run("store check", e.reader.CheckLoop)
	run("peers", func(ctx context.Context) error { return e.peers.Run(ctx, s.IP) })
	run("sweep", e.cleanupLoop)
	run("evidence", e.evidenceLoop)
	run("config", e.catchUpLoop)
	run("turns", e.admissionLoop)
	return work, servers, nil
}

// Reload is a new version of the settings, or the error that prevents its use.
type Reload struct {
	Settings Settings
	Err      error
}

// waitForExit applies reloaded settings until ctx ends or work yields a result, which it returns.
func (e *Entry) waitForExit(ctx context.Context, work <-chan error, reload <-chan Reload) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-work:
			return err
		case r := <-reload:
			if r.Err != nil {
				level.Warn(e.limitedLogger.Logger).Log("msg", "new settings refused, the old ones stay", "error", r.Err)
				continue
			}
			old := e.settings.Swap(&r.Settings)
			e.peers.AddSeeds(r.Settings)
			level.Info(e.limitedLogger.Logger).Log("msg", "settings reloaded", "seeds", len(r.Settings.Seeds),
				"restart", old.Front != r.Settings.Front || old.Control != r.Settings.Control || old.Store != r.Settings.Store)
		}
	}
}

// cleanupLoop removes expired backend servers and closes expired idle connections.
func (e *Entry) cleanupLoop(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.state.RemoveExpired()
			e.updateFull()
			view := e.state.View()
			e.conns.closeExpired(func(id string) bool { return view.Servers[id] != nil && !e.loads.Leaves(view.Servers[id]) })
		}
	}
}

// admissionLoop dispatches waiting requests and passes observations to the concurrency limiters.
func (e *Entry) admissionLoop(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval.Duration())
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.dispatch()
			if tick%dispatchesPerObservation == 0 {
				e.observeLoad()
				e.observeCapacities()
			}
		}
	}
}

func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsRoute, func(w http.ResponseWriter, _ *http.Request) { e.metrics.Write(w) })
	mux.HandleFunc("GET "+RoutePath, e.handleRoute)
	return mux
}

// drain accepts requests while callers may still use this address, then completes those in flight and shuts down.
func (e *Entry) drain(servers []*http.Server) {
	start, grace := e.clock.Now(), e.settings.Load().ShutdownGrace
	e.draining.Store(true)
	level.Info(e.limitedLogger.Logger).Log("msg", "leaving", "active", e.active.Load(), "grace", grace)
	deadline := start.Add(max(grace-exitMargin, 0))
	time.Sleep(min(drainAcceptTime, grace/2).Duration())
	ctx, cancel := withDeadline(context.Background(), e.clock, deadline)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			level.Warn(e.limitedLogger.Logger).Log("msg", "server did not shut down cleanly, closing its connections", "error", err, "active", e.active.Load())
			_ = server.Close() // the remaining connections can't be completed in time
		}
	}
}
