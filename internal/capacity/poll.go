package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"carawaypick/internal/lifecycle"
	"carawaypick/internal/measure"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
)

const pollRounds = 40 // polls of each agent per measurement

// fakeAgent answers polls like an agent.
type fakeAgent struct {
	peerpb.UnimplementedAgentServer
}

// Poll returns a typical report.
func (fakeAgent) Poll(context.Context, *peerpb.PollRequest) (*peerpb.Report, error) {
	return newReport("agent-0001"), nil
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pollRows measures the cost of reports between an entry and its agents over loopback connections, both sides together.
func pollRows() (rows []measure.Row, err error) {
	var bytes []measure.Row
	var failure error
	rows = slopeRows("poll.time", "us of processor each round", "agent", agentSizes, func(size int) float64 {
		cost, sent, memory, err := measurePolls(size)
		failure = errors.CombineErrors(failure, err)
		bytes = append(bytes,
			measure.NoTarget("poll.bytes", sent, "bytes each report, both ways"),
			measure.NoTarget("poll.memory", memory, "bytes each connection, both ends"))
		return cost
	})
	return append(rows, bytes...), failure
}

// measurePolls returns the processor time in us of one round of polls of size agents, the bytes per report and the memory per connection.
func measurePolls(size int) (cost, sent, memory float64, err error) {
	ctx := context.Background()
	var bytes atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}
	pool := peer.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	defer pool.Close()
	addresses, stop, err := startAgents(ctx, size)
	defer stop()
	if err != nil {
		return 0, 0, 0, err
	}
	before := heapInUse()
	if err := pollAll(ctx, pool, addresses); err != nil {
		return 0, 0, 0, err
	}
	memory = (heapInUse() - before) / float64(size)
	bytes.Store(0)
	start := cpuTime()
	for range pollRounds {
		if err := pollAll(ctx, pool, addresses); err != nil {
			return 0, 0, 0, err
		}
	}
	cost = (cpuTime() - start) / pollRounds / nanosecondsPerUs
	return cost, float64(bytes.Load()) / pollRounds / float64(size), memory, nil
}

func pollAll(ctx context.Context, pool *peer.Pool, addresses []string) error {
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

// startAgents starts size fake agents on free loopback ports and returns their addresses and a function that stops them, also
// after an error.
func startAgents(ctx context.Context, size int) (addresses []string, stop func(), err error) {
	var servers []*grpc.Server
	var stopped []<-chan error
	stop = func() {
		for _, s := range servers {
			s.Stop()
		}
		for _, end := range stopped {
			err = errors.CombineErrors(err, <-end)
		}
	}
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, stop, errors.Wrap(err, "listen")
		}
		s := grpc.NewServer()
		peerpb.RegisterAgentServer(s, fakeAgent{})
		servers = append(servers, s)
		stopped = append(stopped, lifecycle.Start(ctx, func(context.Context) error { return s.Serve(l) }))
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, stop, nil
}
