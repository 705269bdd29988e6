package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v2"
	"google.golang.org/grpc"

	"carawaypick/internal/config"
	"carawaypick/internal/kernel"
	"carawaypick/internal/member"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	idlePeriod = 50 * clock.Millisecond // between two looks at whether work is left during shutdown
	stopWait   = 5 * clock.Second       // longest wait for servers to close their connections
)

// Node is one process of the system.
type Node struct {
	Settings  config.Settings
	Clock     clock.Clock
	Telemetry *telemetry.Telemetry
	Member    *member.Member
	Pool      *peer.Pool
	Server    *grpc.Server
	Views     operator.Views

	notify atomic.Pointer[func()]
	force  force
}

// Role is what an entry or an agent adds to a node.
type Role struct {
	Start func(context.Context) <-chan error // the role's loops
	App   *fiber.App                         // the HTTP server
	Leave func()                             // stops new work
	Idle  func() bool                        // tells whether no work is left
	Hear  func()                             // takes in news of tickets, instances and crashes
}

// Open joins the parts of a process without starting them.
func Open(s config.Settings, t *telemetry.Telemetry) (n *Node, err error) {
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
	n = &Node{
		Settings:  s,
		Clock:     c,
		Telemetry: t,
		Pool:      pool,
		Server:    grpc.NewServer(append(server, peer.ServerLimits()...)...),
	}
	n.Member = newMember(n)
	peerpb.RegisterPeerServer(n.Server, peerServer{node: n})
	return n, nil
}

// Run serves until ctx ends, then leaves: it stops being used, finishes all work and returns.
func (n *Node) Run(ctx context.Context, role Role) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "run node")
		}
	}()
	grpcListener, err := net.Listen("tcp", n.Settings.Peer)
	if err != nil {
		return err
	}
	httpListener, err := net.Listen("tcp", n.Settings.Listen)
	if err != nil {
		return errors.CombineErrors(err, grpcListener.Close())
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.notify.Store(&role.Hear)
	loops := n.Member.Start(inner)
	work := role.Start(inner)
	peers := kernel.Start(inner, func(context.Context) error { return n.Server.Serve(grpcListener) })
	callers := kernel.Start(inner, func(context.Context) error { return role.App.Listener(httpListener) })
	select {
	case <-ctx.Done():
	case err = <-peers:
	case err = <-callers:
	}
	n.leave(role)
	cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-loops, <-work))
}

// hear passes news on to the role once it runs.
func (n *Node) hear() {
	n.ticketAge()
	if notify := n.notify.Load(); notify != nil {
		(*notify)()
	}
}

// leave finishes what is in progress: callers may hold this address for a while, so it serves on for the drain time.
func (n *Node) leave(role Role) {
	logger := n.Telemetry.Logger
	n.Telemetry.Metrics.Shutdown.Set(1)
	level.Info(logger).Log("msg", "shutdown begins", "drain", n.Settings.Timing.Drain)
	role.Leave()
	start := n.Clock.Now()
	for n.Clock.Since(start) < n.Settings.Timing.Drain || !role.Idle() {
		time.Sleep(idlePeriod.Duration())
	}
	if err := role.App.ShutdownWithTimeout(stopWait.Duration()); err != nil {
		level.Warn(logger).Log("msg", "HTTP server did not close in time", "err", err)
	}
	stopped := kernel.Start(context.Background(), func(context.Context) error {
		n.Server.GracefulStop()
		return nil
	})
	select {
	case err := <-stopped:
		level.Debug(logger).Log("msg", "peers have gone", "err", err)
	case <-time.After(stopWait.Duration()):
		n.Server.Stop()
	}
	n.Pool.Close()
	level.Info(logger).Log("msg", "shutdown ends", "took", n.Clock.Since(start))
}

// peerServer serves the system's own processes.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Sync compares what two processes know.
func (p peerServer) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return p.node.Member.Sync(ctx, request)
}

// Status tells what the process believes.
func (p peerServer) Status(_ context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	content, err := p.node.Views.Content(request.GetKey())
	if err != nil {
		return nil, err
	}
	return &peerpb.StatusReply{Content: content}, nil
}
