package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// messageBytes is the largest message between the system's own processes.
const messageBytes = 8 << 20

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
	options = append(options,
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageBytes), grpc.MaxCallSendMsgSize(messageBytes)))
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
