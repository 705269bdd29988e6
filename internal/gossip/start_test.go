package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/gossip"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// cluster runs several members in real time, of which only the first reads the instance list from the platform.
type cluster struct {
	members map[string]*gossip.Member
	updates chan struct{}
	tickets chan [][]byte // responses of the platform's watch
}

// add creates the member for instance n of a list.
func (r *cluster) add(l *platform.List, n int) {
	m := gossip.New(gossip.Options{
		Self: l.Instances[n], Seeds: []string{l.Instances[0].Peer},
		GossipInterval: 20, SettleDelay: 10, SealDelay: clock.Minute, StartupSpread: 100 * clock.Second, EvidenceTTL: clock.Minute,
		Reader: &platform.Reader{Tickets: r.watch, Snapshot: noSnapshot, Instances: r.list(l, n)},
		Clock:  clock.New(),
		Random: rand.Float64,
		OnUpdate: func() {
			select {
			case r.updates <- struct{}{}:
			default:
			}
		},
		SyncPeer: func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			return r.members[address].Sync(ctx, q)
		},
	})
	r.members[l.Instances[n].Peer] = m
}

// watch blocks until the test publishes tickets, and returns them.
func (r *cluster) watch(ctx context.Context, _ uint64, wait clock.Span) ([][]byte, error) {
	if wait == 0 {
		return nil, nil
	}
	select {
	case contents := <-r.tickets:
		return contents, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func noSnapshot(context.Context) ([]byte, error) {
	return nil, nil
}

// list returns the instance list to the first member only.
func (r *cluster) list(l *platform.List, n int) func(context.Context, uint64) (platform.List, []error, error) {
	return func(context.Context, uint64) (platform.List, []error, error) {
		if n > 0 {
			return platform.List{}, nil, nil
		}
		return *l, nil, nil
	}
}

// waitUntil blocks until a condition holds for every member, and checks it after each update.
func (r *cluster) waitUntil(condition func(*gossip.Member) bool) {
	for _, m := range r.members {
		for !condition(m) {
			<-r.updates
		}
	}
}

func TestStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &cluster{members: make(map[string]*gossip.Member), updates: make(chan struct{}, 1), tickets: make(chan [][]byte)}
	l := clustersim.NewInstanceList(1, 5, 1)
	for n := range l.Instances {
		r.add(l, n)
	}
	var ends []<-chan error
	for _, m := range r.members {
		ends = append(ends, m.Start(ctx))
	}
	t.Run("applies tickets on all members", func(t *testing.T) {
		for n := ticket.Number(1); n <= 3; n++ {
			r.tickets <- [][]byte{shareTicket(n, "ana", 1)}
			r.waitUntil(func(m *gossip.Member) bool { return m.State().Number == n })
		}
	})
	t.Run("delivers evidence to all members", func(t *testing.T) {
		r.members[l.Instances[2].Peer].AddEvidence(&peerpb.Evidence{Crash: "a/1/1"})
		r.waitUntil(func(m *gossip.Member) bool { return len(m.Evidence()) == 1 })
	})
	t.Run("ends with its context", func(t *testing.T) {
		cancel()
		for _, end := range ends {
			require.NoError(t, <-end)
		}
		for _, m := range r.members {
			assert.Zero(t, m.Counters.InvalidInputs.Load())
		}
	})
}

// TestInstanceListGoesBackUnnoticed guards against a platform whose instance list goes back to an older version, which is
// ignored, without a log line.
func TestInstanceListGoesBackUnnoticed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	newer, older := clustersim.NewInstanceList(5, 1, 1), clustersim.NewInstanceList(3, 1, 1)
	logged := make(chan string, 1)
	reads := 0
	m := gossip.New(gossip.Options{
		Self: newer.Instances[0], Clock: clock.New(), Random: rand.Float64,
		GossipInterval: 20, SettleDelay: 10, SealDelay: clock.Minute, EvidenceTTL: clock.Minute,
		OnUpdate: func() {},
		Log: log.LoggerFunc(func(fields ...any) error {
			if line := fmt.Sprint(fields...); strings.Contains(line, "instance list is older") {
				logged <- line
			}
			return nil
		}),
		Reader: &platform.Reader{
			Tickets: func(ctx context.Context, _ uint64, _ clock.Span) ([][]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			Snapshot: noSnapshot,
			Instances: func(context.Context, uint64) (platform.List, []error, error) {
				if reads++; reads == 1 {
					return *newer, nil, nil
				}
				return *older, nil, nil
			},
		},
	})
	end := m.Start(ctx)
	select {
	case line := <-logged:
		assert.Contains(t, line, "version 3, known 5")
	case <-time.After(5 * time.Second):
		t.Error("no line in 5 s")
	}
	assert.EqualValues(t, 5, m.List().Version)
	cancel()
	require.NoError(t, <-end)
}
