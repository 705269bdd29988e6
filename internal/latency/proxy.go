package latency

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"carawaypick/internal/lifecycle"
)

// countingProxies are TCP proxies that count the bytes they forward.
type countingProxies struct {
	bytes     atomic.Uint64 // in both directions
	ctx       context.Context
	cancel    context.CancelFunc
	mutex     sync.Mutex
	addresses map[string]string // proxy address by target address
	stopped   []<-chan error
}

func newCountingProxies() *countingProxies {
	ctx, cancel := context.WithCancel(context.Background())
	return &countingProxies{ctx: ctx, cancel: cancel, addresses: map[string]string{}}
}

// proxyTo returns the address of a proxy to address; it starts one if there is none yet.
func (p *countingProxies) proxyTo(address string) (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if proxy, found := p.addresses[address]; found {
		return proxy, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "open proxy")
	}
	p.addresses[address] = l.Addr().String()
	p.stopped = append(p.stopped, lifecycle.Start(p.ctx, func(ctx context.Context) error { return p.accept(ctx, l, address) }))
	return p.addresses[address], nil
}

func (p *countingProxies) accept(ctx context.Context, l net.Listener, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var connections conc.WaitGroup
	defer connections.Wait()
	for {
		from, err := l.Accept()
		if err != nil {
			return nil
		}
		connections.Go(func() { p.forward(ctx, from, address) })
	}
}

// forward copies in both directions until either side closes.
func (p *countingProxies) forward(ctx context.Context, from net.Conn, address string) {
	defer func() { _ = from.Close() }()
	to, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = from.Close()
		_ = to.Close()
	})
	defer stop()
	defer cancel()
	var directions conc.WaitGroup
	directions.Go(func() { defer cancel(); p.copy(to, from) })
	directions.Go(func() { defer cancel(); p.copy(from, to) })
	directions.Wait()
}

func (p *countingProxies) copy(to io.Writer, from io.Reader) {
	_, _ = io.Copy(to, io.TeeReader(from, byteCounter{&p.bytes}))
}

// close closes all connections and waits until all proxies have stopped.
func (p *countingProxies) close() (err error) {
	p.cancel()
	for _, end := range p.stopped {
		err = errors.CombineErrors(err, <-end)
	}
	return err
}

// byteCounter counts the bytes written to it.
type byteCounter struct {
	bytes *atomic.Uint64
}

// Write adds the length of p.
func (c byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(uint64(len(p)))
	return len(p), nil
}
