package member_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/member"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/spread"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// running is several members that run by themselves, of which only the first reaches the platform.
type running struct {
	members map[string]*member.Member
	news    chan struct{}
	tickets chan [][]byte // answers of the platform's watch
}

// add makes the nth member of a list.
func (r *running) add(l *platform.List, n int) {
	m := member.New(member.Options{
		Self: l.Instances[n], Seeds: []string{l.Instances[0].Peer},
		Gossip: 20, Settle: 10, Seal: clock.Minute, Cold: 100 * clock.Second, Keep: clock.Minute,
		Reader: &platform.Reader{Tickets: r.watch, Snapshot: noSnapshot, Instances: r.list(l, n)},
		Clock:  clock.New(),
		Random: rand.Float64,
		Notify: func() {
			select {
			case r.news <- struct{}{}:
			default:
			}
		},
		Call: func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			return r.members[address].Sync(ctx, q)
		},
	})
	r.members[l.Instances[n].Peer] = m
}

// watch returns what the test publishes, as soon as it does.
func (r *running) watch(ctx context.Context, _ uint64, wait clock.Span) ([][]byte, error) {
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

// list is known to the first member only.
func (r *running) list(l *platform.List, n int) func(context.Context, uint64) (platform.List, []error, error) {
	return func(context.Context, uint64) (platform.List, []error, error) {
		if n > 0 {
			return platform.List{}, nil, nil
		}
		return *l, nil, nil
	}
}

// until waits for news until a condition holds for every member.
func (r *running) until(holds func(*member.Member) bool) {
	for _, m := range r.members {
		for !holds(m) {
			<-r.news
		}
	}
}

func TestStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &running{members: make(map[string]*member.Member), news: make(chan struct{}, 1), tickets: make(chan [][]byte)}
	l := spread.Fleet(1, 5, 1)
	for n := range l.Instances {
		r.add(l, n)
	}
	var ends []<-chan error
	for _, m := range r.members {
		ends = append(ends, m.Start(ctx))
	}
	t.Run("brings tickets in force everywhere", func(t *testing.T) {
		for n := ticket.Number(1); n <= 3; n++ {
			r.tickets <- [][]byte{share(n, "ana", 1)}
			r.until(func(m *member.Member) bool { return m.State().Number == n })
		}
	})
	t.Run("brings evidence everywhere", func(t *testing.T) {
		r.members[l.Instances[2].Peer].AddEvidence(&peerpb.Evidence{Crash: "a/1/1"})
		r.until(func(m *member.Member) bool { return len(m.Evidence()) == 1 })
	})
	t.Run("ends with its context", func(t *testing.T) {
		cancel()
		for _, end := range ends {
			require.NoError(t, <-end)
		}
		for _, m := range r.members {
			assert.Zero(t, m.Counters.Refused.Load())
		}
	})
}
