package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Bounds of the tests.
const (
	patience = 30 * time.Second // in which a group must go on
	poll     = 2 * time.Millisecond
)

var errLost = errors.New("lost")

// world is a group of nodes in one process.
type world struct {
	t     *testing.T
	names []string
	first expert.Map
	mu    sync.Mutex
	nodes map[string]*Node
	stops map[string]func()
	loss  *rand.Rand
	part  float64 // of all messages that are lost
	marks uint64
	step  uint64
	send  func(ctx context.Context, to string, m *peerpb.SwitchMessage) error
}

func shape() expert.Shape {
	return expert.Shape{Ranks: 4, Slots: 3, Experts: 8, Layers: 1}
}

func newWorld(t *testing.T, part float64) *world {
	w := &world{
		t: t, nodes: map[string]*Node{}, stops: map[string]func(){}, part: part,
		loss: rand.New(rand.NewPCG(1, 1)), first: expert.RoundRobin(shape()),
	}
	w.send = w.direct
	for i := range shape().Ranks {
		w.names = append(w.names, fmt.Sprint("agent", i))
	}
	return w
}

func (w *world) start(name string) {
	w.marks += 1 << 40
	s := Settings{
		Group: "g", Name: name, Ranks: w.names, First: w.first, Margin: 50,
		Give: 2 * clock.Second, Pause: 10 * clock.Second,
	}
	n := NewNode(s, clock.New(), w.marks+1)
	n.Send = func(ctx context.Context, to string, m *peerpb.SwitchMessage) error { return w.send(ctx, to, m) }
	n.Load = func(context.Context, expert.Use) error { return nil }
	n.Order = func(context.Context, expert.Use) error { return nil }
	n.Live = func() []string { return w.names }
	n.Number = func() uint64 { return 1 }
	ctx, cancel := context.WithCancel(context.Background())
	done := n.Run(ctx)
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	w.stops[name] = func() {
		cancel()
		assert.NoError(w.t, <-done)
	}
}

func (w *world) startAll() {
	for _, name := range w.names {
		w.start(name)
	}
	w.t.Cleanup(func() {
		for _, stop := range w.stops {
			stop()
		}
	})
}

func (w *world) direct(ctx context.Context, to string, m *peerpb.SwitchMessage) error {
	w.mu.Lock()
	n := w.nodes[to]
	lost := w.loss.Float64() < w.part
	w.mu.Unlock()
	if n == nil || lost {
		return errLost
	}
	_, err := n.Switch(ctx, m)
	return err
}

// assertStep takes the whole group through one step and returns the map that all used.
func (w *world) assertStep() expert.Use {
	w.step++
	var used expert.Use
	for i, name := range w.names {
		use := w.assertBegin(name)
		if i == 0 {
			used = use
		}
		require.Equal(w.t, used.Fence, use.Fence, "step %d: %s uses another map", w.step, name)
	}
	for _, name := range w.names {
		require.NoError(w.t, w.nodes[name].Observe(w.report()))
	}
	return used
}

func (w *world) assertBegin(name string) (use expert.Use) {
	require.Eventually(w.t, func() bool {
		u, err := w.nodes[name].Begin(context.Background(), w.step)
		use = u
		return err == nil
	}, patience, poll, "%s stands at step %d", name, w.step)
	return use
}

func (w *world) report() expert.Report {
	return expert.Report{
		Step: w.step, Ranks: shape().Ranks, Slots: shape().Slots, Weight: 1000, Rate: 1_000_000,
		Layers: [][]int64{{10_000, 10_000, 10_000, 10_000, 10_000, 10_000, 10_000, 90_000}},
	}
}

func (w *world) assertSwitches() expert.Use {
	c := clock.New()
	for c.Now().Sub(0).Duration() < patience {
		if use := w.assertStep(); use.Fence != (expert.Fence{}) {
			return use
		}
	}
	require.Fail(w.t, "the group never switched")
	return expert.Use{}
}

func TestGroup(t *testing.T) {
	for _, part := range []float64{0, 0.3} {
		t.Run(fmt.Sprintf("switches to a better map with %.0f%% of messages lost", part*100), func(t *testing.T) {
			w := newWorld(t, part)
			w.startAll()
			use := w.assertSwitches()
			assert.Less(t, expert.Skew(use.Map, w.report().Layers), 1.2)
		})
	}
	t.Run("an agent that restarts gets the group's map", func(t *testing.T) {
		w := newWorld(t, 0.1)
		w.startAll()
		used := w.assertSwitches()
		w.stops["agent2"]()
		w.start("agent2")
		assert.False(t, w.assertStep().Fence.Less(used.Fence))
	})
	t.Run("a paused agent orders nothing before it has looked again", func(t *testing.T) {
		now := clock.Time(0)
		n := NewNode(Settings{Name: "a", Ranks: []string{"a"}, Pause: clock.Second}, clock.Fixed(&now), 1)
		n.tick()
		n.loaded(expert.Fence{})
		n.Order = func(context.Context, expert.Use) error { return nil }
		_, err := n.Begin(context.Background(), 1)
		require.NoError(t, err)
		now = now.Add(5 * clock.Second)
		_, err = n.Begin(context.Background(), 2)
		require.ErrorIs(t, err, ErrWait)
	})
}

func TestGroupOverGRPC(t *testing.T) {
	w := newWorld(t, 0)
	w.send = overGRPC(t, w)
	w.startAll()
	w.assertSwitches()
}

func overGRPC(t *testing.T, w *world) func(context.Context, string, *peerpb.SwitchMessage) error {
	clients := map[string]peerpb.GroupClient{}
	for _, name := range w.names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := grpc.NewServer()
		peerpb.RegisterGroupServer(server, &forward{world: w, name: name})
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		clients[name] = peerpb.NewGroupClient(conn)
		t.Cleanup(func() {
			assert.NoError(t, conn.Close())
			server.Stop()
			assert.NoError(t, <-served)
		})
	}
	return func(ctx context.Context, to string, m *peerpb.SwitchMessage) error {
		_, err := clients[to].Switch(ctx, m)
		return err
	}
}

// forward gives calls to the present node of a name.
type forward struct {
	peerpb.UnimplementedGroupServer
	world *world
	name  string
}

func (f *forward) Switch(ctx context.Context, m *peerpb.SwitchMessage) (*peerpb.SwitchMessage, error) {
	f.world.mu.Lock()
	n := f.world.nodes[f.name]
	f.world.mu.Unlock()
	if n == nil {
		return nil, errLost
	}
	return n.Switch(ctx, m)
}

func TestPlanner(t *testing.T) {
	t.Run("is one of the live agents whatever their order", func(t *testing.T) {
		assert.Equal(t, Planner("g", []string{"a", "b", "c"}), Planner("g", []string{"c", "b", "a"}))
	})
	t.Run("stays while another agent leaves", func(t *testing.T) {
		live := []string{"a", "b", "c"}
		chosen := Planner("g", live)
		for _, gone := range live {
			var rest []string
			for _, name := range live {
				if name != gone {
					rest = append(rest, name)
				}
			}
			if gone != chosen {
				assert.Equal(t, chosen, Planner("g", rest))
			}
		}
	})
	t.Run("is nobody without live agents", func(t *testing.T) {
		assert.Empty(t, Planner("g", nil))
	})
}
