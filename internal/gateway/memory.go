package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"

	"carawaypick/internal/intake"
	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

const (
	memoryLimitRatio = 0.7               // of the instance's memory, as the Go runtime's soft limit
	defaultMemory    = 256 << 20         // bytes of an instance whose memory is not known
	heldRatio        = 0.6               // of the instance's memory, held for others at most
	bulkRatio        = 0.8               // of the memory for callers, for what requests take beyond their first 64 KiB
	socketRatio      = 0.75              // of the sockets, for connections of clients; the others are left for the store, peers and backend servers
	reservedFiles    = 200               // of the descriptors, for files
	defaultSockets   = 1024              // of an instance whose descriptors are not known
	minSockets       = 8                 // of a port
	connectionCost   = 24 << 10          // bytes of a connection: stacks and buffers of its goroutines
	defaultMaxHead   = 64 << 10          // bytes of a head before a configuration is known
	operatorMaxHead  = 16 << 10          // bytes of a head at a port for operators and peers
	metricsCost      = 256 << 10         // bytes of an answer with metrics
	peerCostFactor   = 4                 // bytes of a peer's state for each byte of its heartbeat
	operatorTimeout  = 10 * clock.Second // for a request and its answer at a port for operators, peers and the directory
)

// shares are the parts of the memory that an entry holds for others.
type shares struct {
	budget                                    *memory.Budget
	front, directory, ready, control, metrics *memory.Share // connections and what comes on them, by port
	answers                                   *memory.Share // of backend servers
	peers                                     *memory.Share // state of other entries
}

// newShares divides the memory and the sockets of the instance.
func newShares(s Settings, c clock.Clock) shares {
	held, sockets := s.heldMemory(), float64(s.sockets())
	budget := &memory.Budget{Clock: c}
	part := func(name string, ratio, bulk, socketPart float64) *memory.Share {
		l := memory.Limits{Bytes: int64(held * ratio), Bulk: int64(held * ratio * bulk)}
		if socketPart > 0 {
			l.Holders = max(int(sockets*socketPart), minSockets)
		}
		return budget.Share(name, l)
	}
	return shares{
		budget:    budget,
		front:     part("front", 0.55, bulkRatio, 0.8),
		directory: part("directory", 0.06, 0, 0.08),
		ready:     part("ready", 0.02, 0, 0.04),
		control:   part("control", 0.04, 0, 0.04),
		metrics:   part("metrics", 0.03, 0, 0.04),
		answers:   part("answers", 0.2, 0, 0),
		peers:     part("peers", 0.1, 0, 0),
	}
}

// heldMemory returns the bytes that the process may hold for others.
func (s Settings) heldMemory() float64 {
	if s.HeldMemory > 0 {
		return float64(s.HeldMemory)
	}
	if s.Memory > 0 {
		return float64(s.Memory) * heldRatio
	}
	return defaultMemory * heldRatio
}

// sockets returns the number of connections of clients that the process may have open.
func (s Settings) sockets() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	_, limit := descriptors()
	if s.Descriptors > 0 && (limit == 0 || s.Descriptors < limit) {
		limit = s.Descriptors
	}
	if limit == 0 {
		return defaultSockets
	}
	return int(float64(max(limit-reservedFiles, limit/2)) * socketRatio)
}

// maxHead returns the maximum size of a caller's head, which the configuration sets.
func (e *Entry) maxHead() int {
	if config := e.state.View().Config; config != nil && config.Limits.MaxHeaderBytes > 0 {
		return config.Limits.MaxHeaderBytes
	}
	return defaultMaxHead
}

// listen opens the port and returns the server for it.
func (e *Entry) listen(ctx context.Context, address string, share *memory.Share, maxHead func() int, handler http.Handler) (listener net.Listener, server *http.Server, err error) {
	listener, err = intake.Listen(ctx, address, intake.Port{Share: share, Cost: connectionCost, MaxHead: maxHead})
	if err != nil {
		return nil, nil, err
	}
	return listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		IdleTimeout:       callerIdleTimeout.Duration(),
		ConnContext:       intake.WithConn,
		ConnState:         endRequest,
	}, nil
}

// endRequest gives back the memory of a request once the server waits for the next one.
func endRequest(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*intake.Conn); ok && state == http.StateIdle {
		c.EndRequest()
	}
}

// counted returns a handler that takes the memory of its answers, and bounds the time of each request. It rejects requests for which
// there is no memory.
func counted(cost func() int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// Not supported in tests without a connection.
		_ = control.SetReadDeadline(clock.Deadline(operatorTimeout))
		_ = control.SetWriteDeadline(clock.Deadline(operatorTimeout))
		if c := intake.FromContext(r.Context()); c != nil {
			c.HeadRead()
			if c.Holder().Take(cost()) != nil || !c.Holder().Pin() {
				w.Header().Set("Retry-After", "1")
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// isFull reports whether callers or answers use more than three quarters of their memory.
func (s shares) isFull() bool {
	front, answers := s.front.Usage(), s.answers.Usage()
	return exceedsThreeQuarters(front.Used, front.Limit) || exceedsThreeQuarters(answers.Used, answers.Limit)
}

// stateCost returns the memory that an answer with the whole state takes, but no more than lets several peers ask at a time.
func (e *Entry) stateCost() int64 {
	const askers = 4
	return min(e.stateSize.Load(), e.memory.control.Limits.Bytes/askers)
}

// limitMemory sets the Go runtime's soft limit, which bounds garbage.
func limitMemory(s Settings) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitRatio))
	}
}

// recordPressure counts and logs an eviction or rejection; the budget is locked.
func (e *Entry) recordPressure(share, reason string) {
	e.metrics.MemoryPressure.Get(share + " " + reason).Inc()
	e.limitedLogger.Log("memory", "msg", "no memory left, connection or request evicted or rejected", "port", share, "reason", reason)
}

// registerMemory adds gauges of the memory that is held for others.
func (e *Entry) registerMemory() {
	for _, u := range e.memory.budget.Usage() {
		for name, value := range map[string]func(memory.Usage) float64{
			"held_bytes":       func(u memory.Usage) float64 { return float64(u.Used) },
			"held_limit_bytes": func(u memory.Usage) float64 { return float64(u.Limit) },
			"held_peak_bytes":  func(u memory.Usage) float64 { return float64(u.Peak) },
			"held_connections": func(u memory.Usage) float64 { return float64(u.Holders) },
		} {
			e.metrics.RegisterGauge(fmt.Sprintf("%s{part=%q}", name, u.Name), func() float64 { return value(e.memory.budget.UsageOf(u.Name)) })
		}
	}
}
