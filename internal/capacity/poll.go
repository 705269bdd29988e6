package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"carawaypick/internal/kernel"
	"carawaypick/internal/measure"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
)

const pollRounds = 40 // polls of each agent that one figure is taken over

// reporter answers polls as an agent does.
type reporter struct {
	peerpb.UnimplementedAgentServer
}

// Poll returns a typical report.
func (reporter) Poll(context.Context, *peerpb.PollRequest) (*peerpb.Report, error) {
	return report("agent-0001"), nil
}

// meter counts the bytes that cross connections.
type meter struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (m meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (m meter) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.bytes.Add(int64(n))
	return n, err
}

// pollRows measures reports between an entry and its agents over loopback connections, both sides together.
func pollRows() (rows []measure.Row, err error) {
	var bytes []measure.Row
	var fault error
	rows = slope("poll.time", "us of processor each round", "agent", agentSizes, func(size int) float64 {
		cost, sent, memory, err := polls(size)
		fault = errors.CombineErrors(fault, err)
		bytes = append(bytes,
			measure.NoTarget("poll.bytes", sent, "bytes each report, both ways"),
			measure.NoTarget("poll.memory", memory, "bytes each connection, both ends"))
		return cost
	})
	return append(rows, bytes...), fault
}

// polls returns the microseconds of processor time of one round of reports from size agents, and the bytes of one report.
func polls(size int) (cost, sent, memory float64, err error) {
	ctx := context.Background()
	var bytes atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return meter{Conn: conn, bytes: &bytes}, err
	}
	pool := peer.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	defer pool.Close()
	addresses, stop, err := reporters(ctx, size)
	defer stop()
	if err != nil {
		return 0, 0, 0, err
	}
	before := heap()
	if err := round(ctx, pool, addresses); err != nil {
		return 0, 0, 0, err
	}
	memory = (heap() - before) / float64(size)
	bytes.Store(0)
	start := processor()
	for range pollRounds {
		if err := round(ctx, pool, addresses); err != nil {
			return 0, 0, 0, err
		}
	}
	cost = (processor() - start) / pollRounds / kilobyte
	return cost, float64(bytes.Load()) / pollRounds / float64(size), memory, nil
}

func round(ctx context.Context, pool *peer.Pool, addresses []string) error {
	for _, address := range addresses {
		conn, err := pool.Conn(address)
		if err != nil {
			return err
		}
		request := &peerpb.PollRequest{Entry: "entry-0001", Digest: &peerpb.Digest{Number: 100_000, Hash: 1 << 60, List: 20_000}}
		if _, err := peerpb.NewAgentClient(conn).Poll(ctx, request); err != nil {
			return errors.Wrap(err, "poll")
		}
	}
	return nil
}

// reporters starts size servers on free loopback ports.
func reporters(ctx context.Context, size int) (addresses []string, stop func(), err error) {
	var servers []*grpc.Server
	var ends []<-chan error
	stop = func() {
		for _, s := range servers {
			s.Stop()
		}
		for _, end := range ends {
			err = errors.CombineErrors(err, <-end)
		}
	}
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, stop, errors.Wrap(err, "listen")
		}
		s := grpc.NewServer()
		peerpb.RegisterAgentServer(s, reporter{})
		servers = append(servers, s)
		ends = append(ends, kernel.Start(ctx, func(context.Context) error { return s.Serve(l) }))
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, stop, nil
}
