package latency

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"carawaypick/internal/kernel"
)

// relays pass connections on and count their bytes.
type relays struct {
	bytes  atomic.Uint64 // both directions
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	known  map[string]string // address of the relay by the address behind it
	ends   []<-chan error
}

func newRelays() *relays {
	ctx, cancel := context.WithCancel(context.Background())
	return &relays{ctx: ctx, cancel: cancel, known: map[string]string{}}
}

// to returns the address of a relay to an address.
func (r *relays) to(address string) (string, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known, found := r.known[address]; found {
		return known, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "open relay")
	}
	r.known[address] = l.Addr().String()
	r.ends = append(r.ends, kernel.Start(r.ctx, func(ctx context.Context) error { return r.accept(ctx, l, address) }))
	return r.known[address], nil
}

func (r *relays) accept(ctx context.Context, l net.Listener, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var connections conc.WaitGroup
	defer connections.Wait()
	for {
		from, err := l.Accept()
		if err != nil {
			return nil
		}
		connections.Go(func() { r.join(ctx, from, address) })
	}
}

// join copies both ways until either side ends.
func (r *relays) join(ctx context.Context, from net.Conn, address string) {
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
	var ways conc.WaitGroup
	ways.Go(func() { defer cancel(); r.copy(to, from) })
	ways.Go(func() { defer cancel(); r.copy(from, to) })
	ways.Wait()
}

func (r *relays) copy(to io.Writer, from io.Reader) {
	_, _ = io.Copy(to, io.TeeReader(from, counter{&r.bytes}))
}

// close ends all connections and waits for it.
func (r *relays) close() (err error) {
	r.cancel()
	for _, end := range r.ends {
		err = errors.CombineErrors(err, <-end)
	}
	return err
}

// counter counts the bytes written to it.
type counter struct {
	bytes *atomic.Uint64
}

// Write counts p.
func (c counter) Write(p []byte) (int, error) {
	c.bytes.Add(uint64(len(p)))
	return len(p), nil
}
