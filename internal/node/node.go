package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v2"
	"google.golang.org/grpc"

	"carawaypick/internal/config"
	"carawaypick/internal/gossip"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	idlePollInterval  = 50 * clock.Millisecond // between two checks for remaining work during shutdown
	serverStopTimeout = 5 * clock.Second       // longest wait for each server to close its connections
)

// Node is one process of the system.
type Node struct {
	Settings  config.Settings
	Clock     clock.Clock
	Telemetry *telemetry.Telemetry
	Member    *gossip.Member
	Pool      *peer.Pool
	Server    *grpc.Server
	Views     operator.Views

	limits     limits
	stats      *peer.MessageStats
	onUpdate   atomic.Pointer[func()]
	stateTimer stateTimer
}

// Role holds the parts of a process that are specific to an entry or an agent.
type Role struct {
	Start         func(context.Context) <-chan error // starts the background loops of the role; the channel receives their result
	App           *fiber.App                         // the HTTP server
	BeginShutdown func()                             // stops accepting new work
	Idle          func() bool                        // reports whether no work is left
	OnUpdate      func()                             // called after updates of tickets, instances or crash reports
}

// New creates the parts of a process without starting them; it fails if the certificates cannot be read.
func New(s config.Settings, t *telemetry.Telemetry) (n *Node, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "open node")
		}
	}()
	server, err := peer.ServerOptions(s)
	if err != nil {
		return nil, err
	}
	dial, err := peer.DialOptions(s)
	if err != nil {
		return nil, err
	}
	c := clock.New()
	pool := peer.NewPool(dial...)
	messages := &peer.MessageStats{}
	n = &Node{
		Settings:  s,
		Clock:     c,
		Telemetry: t,
		Pool:      pool,
		Server:    grpc.NewServer(append(server, peer.ServerLimits(messages)...)...),
		limits:    newLimits(s, c, t),
		stats:     messages,
	}
	n.Member = newMember(n)
	peerpb.RegisterPeerServer(n.Server, peerServer{node: n})
	return n, nil
}

// Run serves until ctx ends or a server fails, then shuts down gracefully; it returns once all work is finished.
func (n *Node) Run(ctx context.Context, role Role) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "run node")
		}
	}()
	grpcListener, err := n.limits.listenPeers(ctx, n.Settings.Peer, n.stats)
	if err != nil {
		return err
	}
	httpListener, err := n.limits.listenCallers(ctx, n.Settings.Listen, role.App)
	if err != nil {
		return errors.CombineErrors(err, grpcListener.Close())
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.onUpdate.Store(&role.OnUpdate)
	loops := n.Member.Start(runCtx)
	work := role.Start(runCtx)
	peers := lifecycle.Start(runCtx, func(context.Context) error { return n.Server.Serve(grpcListener) })
	callers := lifecycle.Start(runCtx, func(context.Context) error { return role.App.Listener(httpListener) })
	select {
	case <-ctx.Done():
	case err = <-peers:
	case err = <-callers:
	}
	n.shutdown(role)
	cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-loops, <-work))
}

// notifyRole restarts the state timer if the state has changed and, once Run has set the role's OnUpdate, calls it.
func (n *Node) notifyRole() {
	n.stateAge()
	if onUpdate := n.onUpdate.Load(); onUpdate != nil {
		(*onUpdate)()
	}
}

// shutdown drains the process and stops its servers. Callers cache the addresses of processes, so this one keeps
// serving for at least the drain period even when idle.
func (n *Node) shutdown(role Role) {
	logger := n.Telemetry.Logger
	n.Telemetry.Metrics.Shutdown.Set(1)
	level.Info(logger).Log("msg", "shutdown begins", "drain", n.Settings.Timing.DrainPeriod)
	role.BeginShutdown()
	start := n.Clock.Now()
	for n.Clock.Since(start) < n.Settings.Timing.DrainPeriod || !role.Idle() {
		time.Sleep(idlePollInterval.Duration())
	}
	if err := role.App.ShutdownWithTimeout(serverStopTimeout.Duration()); err != nil {
		level.Warn(logger).Log("msg", "HTTP server did not close before the time-out; shutdown continues", "err", err)
	}
	stopped := lifecycle.Start(context.Background(), func(context.Context) error {
		n.Server.GracefulStop()
		return nil
	})
	select {
	case err := <-stopped:
		level.Debug(logger).Log("msg", "gRPC server stopped", "err", err)
	case <-time.After(serverStopTimeout.Duration()):
		n.Server.Stop()
	}
	n.Pool.Close()
	level.Info(logger).Log("msg", "shutdown ends", "took", n.Clock.Since(start))
}

// peerServer implements the gRPC service for the system's own processes.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Sync exchanges cluster state with another process.
func (p peerServer) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return p.node.Member.Sync(ctx, request)
}

// Status returns the status or, if the request has a key, the decisions on that request id, as JSON.
func (p peerServer) Status(_ context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	content, err := p.node.Views.Content(request.GetKey())
	if err != nil {
		return nil, err
	}
	return &peerpb.StatusReply{Content: content}, nil
}
