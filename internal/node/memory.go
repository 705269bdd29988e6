package node

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"

	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/config"
	"carawaypick/internal/intake"
	"carawaypick/internal/memory"
	"carawaypick/internal/peer"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	callerRatio     = 0.6      // of the memory, for the HTTP server; the other processes have the rest
	memoryRatio     = 1.5      // Go runtime's soft limit for each byte that is held for others, so that garbage is bounded, too
	connectionCost  = 24 << 10 // bytes of an HTTP connection
	peerCost        = 48 << 10 // bytes of a gRPC connection
	bodyFactor      = 3        // bytes of memory for each byte of a body: the server's growing buffer and the handler's copy
	maxPeers        = 4096     // connections of other processes, above the entries and agents that one process speaks with
	bytesOfMegabyte = 1 << 20
)

// limits owns the memory that the process holds for others.
type limits struct {
	budget  *memory.Budget
	callers *memory.Share
	peers   *memory.Share
}

func newLimits(s config.Settings, c clock.Clock, t *telemetry.Telemetry) limits {
	total := int64(s.Limits.Memory) * bytesOfMegabyte
	debug.SetMemoryLimit(int64(float64(total) * memoryRatio))
	limited := &telemetry.RateLimitedLogger{Logger: t.Logger, Clock: c}
	budget := &memory.Budget{Clock: c, OnPressure: func(share, reason string) {
		t.Metrics.MemoryPressure.Get(share + " " + reason).Inc()
		limited.Log("memory", "level", level.WarnValue(), "msg", "no memory left, connection or request evicted or rejected", "port", share, "reason", reason)
	}}
	callers := int64(float64(total) * callerRatio)
	l := limits{
		budget:  budget,
		callers: budget.Share("callers", memory.Limits{Bytes: callers, Holders: s.Limits.MaxConnections}),
		peers:   budget.Share("peers", memory.Limits{Bytes: total - callers, Holders: maxPeers}),
	}
	for _, u := range budget.Usage() {
		t.Metrics.RegisterGauge(fmt.Sprintf("held_bytes{part=%q}", u.Name), func() float64 { return float64(budget.UsageOf(u.Name).Used) })
		t.Metrics.RegisterGauge(fmt.Sprintf("held_limit_bytes{part=%q}", u.Name), func() float64 { return float64(u.Limit) })
		t.Metrics.RegisterGauge(fmt.Sprintf("held_connections{part=%q}", u.Name), func() float64 { return float64(budget.UsageOf(u.Name).Holders) })
	}
	return l
}

// listenCallers opens the port of the HTTP server. The server reads bodies by itself, so all bytes of a request are counted until it is
// answered.
func (l limits) listenCallers(ctx context.Context, address string, app *fiber.App) (net.Listener, error) {
	app.Server().ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		if c, ok := conn.(*intake.Conn); ok && state == fasthttp.StateIdle {
			c.EndRequest()
		}
	}
	maxHead := app.Config().ReadBufferSize
	return intake.Listen(ctx, address, intake.Port{Share: l.callers, Cost: connectionCost, MaxHead: func() int { return maxHead }, Factor: bodyFactor})
}

// listenPeers opens the port of the gRPC server, whose messages are counted by the stats.
func (l limits) listenPeers(ctx context.Context, address string, stats *peer.MessageStats) (net.Listener, error) {
	listener, err := intake.Listen(ctx, address, intake.Port{Share: l.peers, Cost: peerCost, MaxHead: func() int { return 0 }, Messages: true})
	if err != nil {
		return nil, err
	}
	stats.Find.Store(listener)
	return listener, nil
}
