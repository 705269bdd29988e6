package member

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// service is the platform as readers see it, with one view of the tickets for each replica.
type service struct {
	list     *platform.List
	replicas []map[ticket.Number][]byte
	snapshot []byte
	down     bool
	away     map[int]bool // members that can't reach it
	calls    int
}

var errDown = errors.New("the platform is down")

// publish puts a ticket at all replicas but the stale ones.
func (s *service) publish(n ticket.Number, content []byte, stale ...int) {
	for r := range s.replicas {
		if !slices.Contains(stale, r) {
			s.replicas[r][n] = content
		}
	}
}

// reader returns one member's Reader at one replica, whose watches return at once.
func (s *service) reader(member, replica int) *platform.Reader {
	call := func() error {
		s.calls++
		if s.down || s.away[member] {
			return errDown
		}
		return nil
	}
	return &platform.Reader{
		Tickets: func(_ context.Context, after uint64, _ clock.Span) (contents [][]byte, err error) {
			if err = call(); err != nil {
				return nil, err
			}
			for _, n := range slices.Sorted(maps.Keys(s.replicas[replica])) {
				if uint64(n) > after {
					contents = append(contents, s.replicas[replica][n])
				}
			}
			return contents, nil
		},
		Snapshot: func(context.Context) ([]byte, error) {
			if err := call(); err != nil {
				return nil, err
			}
			return s.snapshot, nil
		},
		Instances: func(_ context.Context, version uint64) (platform.List, []error, error) {
			if err := call(); err != nil || version >= s.list.Version {
				return platform.List{}, nil, err
			}
			return *s.list, nil, nil
		},
	}
}

// world is several members under one manual clock.
type world struct {
	now     clock.Time
	service *service
	members []*Member
	address map[string]int
	paused  map[int]bool
	cut     func(from, to int) bool
	random  *rand.Rand
	highest map[int]ticket.Number // in force so far on each member
	reverts int
}

// newWorld returns a cold fleet of which the first two are everybody's seeds.
func newWorld(count, zones, replicas int) *world {
	w := &world{
		service: &service{list: fleet(1, count, zones), away: make(map[int]bool)},
		address: make(map[string]int),
		paused:  make(map[int]bool),
		cut:     func(int, int) bool { return false },
		random:  rand.New(rand.NewPCG(1, 2)),
		highest: make(map[int]ticket.Number),
	}
	for range replicas {
		w.service.replicas = append(w.service.replicas, make(map[ticket.Number][]byte))
	}
	for n := range count {
		w.add(n, w.service.list.Instances[n])
	}
	return w
}

// add starts a cold member in a place of the fleet.
func (w *world) add(n int, self platform.Instance) {
	seeds := []string{w.service.list.Instances[0].Peer, w.service.list.Instances[min(1, len(w.service.list.Instances)-1)].Peer}
	m := New(Options{
		Self: self, Seeds: seeds,
		Gossip: DefaultGossip, Settle: ticket.DefaultSettle, Seal: ticket.DefaultSeal, Cold: DefaultCold, Keep: DefaultKeep,
		Reader: w.service.reader(n, n%len(w.service.replicas)),
		Clock:  clock.Fixed(&w.now),
		Random: w.random.Float64,
		Call: func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			return w.call(ctx, n, address, q)
		},
	})
	m.options.Notify = func() { w.watch(n, m) }
	w.address[self.Peer] = n
	if n == len(w.members) {
		w.members = append(w.members, m)
		return
	}
	w.members[n] = m
	delete(w.highest, n)
}

// watch counts every return to a lower number.
func (w *world) watch(n int, m *Member) {
	number := m.State().Number
	if number < w.highest[n] {
		w.reverts++
	}
	w.highest[n] = number
}

var errCut = errors.New("no answer")

func (w *world) call(ctx context.Context, from int, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	to, ok := w.address[address]
	if !ok || w.paused[to] || w.cut(from, to) {
		return nil, errCut
	}
	return w.members[to].Sync(ctx, q)
}

const tick = 20 * clock.Millisecond

// run lets the time pass and every member do its duties.
func (w *world) run(span clock.Span) {
	for end := w.now.Add(span); w.now < end; w.now = w.now.Add(tick) {
		for n, m := range w.members {
			if w.paused[n] {
				continue
			}
			for _, k := range m.Due(w.now) {
				m.Perform(context.Background(), k)
			}
		}
	}
}

// runUntil lets the time pass until a condition holds, and returns how long that took.
func (w *world) runUntil(t *testing.T, limit clock.Span, holds func() bool) clock.Span {
	t.Helper()
	start := w.now
	for !holds() {
		if w.now.Sub(start) > limit {
			require.Failf(t, "too late", "not within %d ms; numbers %v", limit, w.numbers())
		}
		w.run(tick)
	}
	return w.now.Sub(start)
}

func (w *world) numbers() (all []ticket.Number) {
	for _, m := range w.members {
		all = append(all, m.State().Number)
	}
	return all
}

// inForce tells whether a number is in force on all members, or on those given.
func (w *world) inForce(n ticket.Number, only ...int) func() bool {
	return func() bool {
		for i, m := range w.members {
			if len(only) > 0 && !slices.Contains(only, i) {
				continue
			}
			if m.State().Number != n {
				return false
			}
		}
		return true
	}
}

// assertAgreed checks that all members hold the same state and list.
func (w *world) assertAgreed(t *testing.T) {
	t.Helper()
	assert.Zero(t, w.reverts)
	for n, m := range w.members {
		require.Equal(t, w.members[0].State().Hash, m.State().Hash, "member %d", n)
		require.Equal(t, w.members[0].State().Objects, m.State().Objects, "member %d", n)
		require.Equal(t, w.members[0].List(), m.List(), "member %d", n)
	}
}

// share returns a ticket that gives the desk a share.
func share(n ticket.Number, author string, share float64) []byte {
	content, err := json.Marshal(ticket.Ticket{Number: n, Author: author, Objects: ticket.Objects{
		Teams: map[string]*ticket.Team{"desk": {Share: share}, fmt.Sprint("team", n): {Share: 1}},
	}})
	if err != nil {
		panic(err)
	}
	return content
}

// warm starts a world in which ticket 1 is in force everywhere.
func warm(t *testing.T, count, zones, replicas int) *world {
	t.Helper()
	w := newWorld(count, zones, replicas)
	w.service.publish(1, share(1, "ana", 1))
	w.runUntil(t, 10*clock.Second, w.inForce(1))
	w.run(3 * clock.Second)
	return w
}
