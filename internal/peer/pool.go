package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"carawaypick/pkg/clock"
)

// messageBytes is the largest message between the system's own processes.
const messageBytes = 8 << 20

// Bounds of a connection between two of the system's own processes.
const (
	connectTimeout = 1 * clock.Second        // longest wait for a connection
	connectBase    = 100 * clock.Millisecond // first pause after a failed connection
	connectMost    = 1 * clock.Second        // longest pause after a failed connection
	alivePeriod    = 10 * clock.Second       // without traffic before the other side is asked
	aliveTimeout   = 3 * clock.Second        // longest wait for its answer
	streamsMost    = 65536                   // calls at once on one connection
)

// ServerLimits returns the bounds of a gRPC server.
func ServerLimits() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(messageBytes),
		grpc.MaxSendMsgSize(messageBytes),
		grpc.MaxConcurrentStreams(streamsMost),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             (alivePeriod / 2).Duration(),
			PermitWithoutStream: true,
		}),
	}
}

func dialLimits() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageBytes), grpc.MaxCallSendMsgSize(messageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: alivePeriod.Duration(), Timeout: aliveTimeout.Duration()}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout.Duration(),
			Backoff: backoff.Config{
				BaseDelay:  connectBase.Duration(),
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   connectMost.Duration(),
			},
		}),
	}
}

// Pool keeps one connection to each of the system's own processes; it is safe for many goroutines.
type Pool struct {
	mu      sync.Mutex
	options []grpc.DialOption
	conns   map[string]*grpc.ClientConn
	closed  bool
}

// ErrClosed is returned once the pool is closed.
var ErrClosed = errors.New("pool is closed")

// NewPool returns an empty pool that connects with the options.
func NewPool(options ...grpc.DialOption) *Pool {
	options = append(options, dialLimits()...)
	return &Pool{options: options, conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to an address, which connects at its first use.
func (p *Pool) Conn(address string) (conn *grpc.ClientConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err = grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	p.conns[address] = conn
	return conn, nil
}

// Keep closes the connections to all addresses that wanted doesn't hold.
func (p *Pool) Keep(wanted map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if _, ok := wanted[address]; !ok {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.Keep(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
