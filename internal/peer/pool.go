package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"carawaypick/pkg/clock"
)

// maxMessageBytes is the maximum size in bytes of a gRPC message between the system's own processes.
const maxMessageBytes = 8 << 20

const (
	maxHeaderBytes = 8 << 10 // of the metadata of a call
	bufferBytes    = 8 << 10 // of a connection, for reading and for writing
)

// Limits of a connection between two of the system's own processes.
const (
	connectTimeout    = 1 * clock.Second        // minimum time before a connection attempt is given up
	connectBaseDelay  = 100 * clock.Millisecond // back-off after the first failed attempt
	connectMaxDelay   = 1 * clock.Second        // upper bound of the back-off
	keepaliveInterval = 10 * clock.Second       // time without traffic before a keepalive ping
	keepaliveTimeout  = 3 * clock.Second        // time to wait for the response to a ping before closing the connection
	maxStreams        = 65536                   // concurrent calls on one connection
)

// ServerLimits returns the message, stream and keepalive limits of a gRPC server, which reports its messages to stats.
func ServerLimits(messages *MessageStats) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StatsHandler(messages),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             (keepaliveInterval / 2).Duration(), // half, so that an early ping does not close the connection
			PermitWithoutStream: true,
		}),
	}
}

func dialLimits() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval.Duration(), Timeout: keepaliveTimeout.Duration()}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout.Duration(),
			Backoff: backoff.Config{
				BaseDelay:  connectBaseDelay.Duration(),
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   connectMaxDelay.Duration(),
			},
		}),
	}
}

// Pool keeps one connection per peer address; it is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	options []grpc.DialOption
	conns   map[string]*grpc.ClientConn
	closed  bool
}

// ErrClosed is returned by Conn after Close.
var ErrClosed = errors.New("pool is closed")

// NewPool returns an empty pool whose connections use the given options and this package's limits.
func NewPool(options ...grpc.DialOption) *Pool {
	options = append(options, dialLimits()...)
	return &Pool{options: options, conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the shared connection to an address, which is established on first use.
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

// Retain closes the connections to all addresses that are not in wanted.
func (p *Pool) Retain(wanted map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if _, ok := wanted[address]; !ok {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

// Close closes all connections; Conn fails afterwards.
func (p *Pool) Close() {
	p.Retain(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
