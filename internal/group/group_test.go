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

// Timing of the tests.
const (
	progressTimeout = 30 * time.Second // for a group to begin a step or to switch
	pollInterval    = 2 * time.Millisecond
)

var errLost = errors.New("lost")

// groupSim simulates a group of nodes in one process.
type groupSim struct {
	t          *testing.T
	names      []string
	initialMap expert.Map
	mu         sync.Mutex
	nodes      map[string]*Node
	stops      map[string]func()
	random     *rand.Rand
	lossRate   float64 // fraction of messages that are lost
	lastNonce  uint64
	step       uint64
	send       func(ctx context.Context, to string, m *peerpb.SwitchMessage) error
}

func shape() expert.Shape {
	return expert.Shape{Ranks: 4, Slots: 3, Experts: 8, Layers: 1}
}

func newGroupSim(t *testing.T, lossRate float64) *groupSim {
	g := &groupSim{
		t: t, nodes: map[string]*Node{}, stops: map[string]func(){}, lossRate: lossRate,
		random: rand.New(rand.NewPCG(1, 1)), initialMap: expert.RoundRobin(shape()),
	}
	g.send = g.deliver
	for i := range shape().Ranks {
		g.names = append(g.names, fmt.Sprint("agent", i))
	}
	return g
}

func (g *groupSim) start(name string) {
	g.lastNonce += 1 << 40
	s := Settings{
		Group: "g", Name: name, Ranks: g.names, InitialMap: g.initialMap, Margin: 50,
		ProposalTimeout: 2 * clock.Second, PauseTimeout: 10 * clock.Second,
	}
	n := NewNode(s, clock.New(), g.lastNonce+1)
	n.Send = func(ctx context.Context, to string, m *peerpb.SwitchMessage) error { return g.send(ctx, to, m) }
	n.Load = func(context.Context, expert.Activation) error { return nil }
	n.Activate = func(context.Context, expert.Activation) error { return nil }
	n.LiveAgents = func() []string { return g.names }
	n.TicketNumber = func() uint64 { return 1 }
	ctx, cancel := context.WithCancel(context.Background())
	done := n.Run(ctx)
	g.mu.Lock()
	g.nodes[name] = n
	g.mu.Unlock()
	g.stops[name] = func() {
		cancel()
		assert.NoError(g.t, <-done)
	}
}

func (g *groupSim) startAll() {
	for _, name := range g.names {
		g.start(name)
	}
	g.t.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
	})
}

func (g *groupSim) deliver(ctx context.Context, to string, m *peerpb.SwitchMessage) error {
	g.mu.Lock()
	n := g.nodes[to]
	lost := g.random.Float64() < g.lossRate
	g.mu.Unlock()
	if n == nil || lost {
		return errLost
	}
	_, err := n.Switch(ctx, m)
	return err
}

// assertStep runs one step on all nodes and returns the map that all of them use.
func (g *groupSim) assertStep() expert.Activation {
	g.step++
	var activation expert.Activation
	for i, name := range g.names {
		a := g.assertBeginStep(name)
		if i == 0 {
			activation = a
		}
		require.Equal(g.t, activation.Fence, a.Fence, "step %d: %s uses another map", g.step, name)
	}
	for _, name := range g.names {
		require.NoError(g.t, g.nodes[name].Observe(g.report()))
	}
	return activation
}

func (g *groupSim) assertBeginStep(name string) (activation expert.Activation) {
	require.Eventually(g.t, func() bool {
		a, err := g.nodes[name].BeginStep(context.Background(), g.step)
		activation = a
		return err == nil
	}, progressTimeout, pollInterval, "%s does not begin step %d", name, g.step)
	return activation
}

func (g *groupSim) report() expert.Report {
	return expert.Report{
		Step: g.step, Ranks: shape().Ranks, Slots: shape().Slots, ExpertBytes: 1000, BytesPerSecond: 1_000_000,
		Layers: [][]int64{{10_000, 10_000, 10_000, 10_000, 10_000, 10_000, 10_000, 90_000}},
	}
}

func (g *groupSim) assertSwitches() expert.Activation {
	c := clock.New()
	for c.Now().Sub(0).Duration() < progressTimeout {
		if activation := g.assertStep(); activation.Fence != (expert.Fence{}) {
			return activation
		}
	}
	require.Fail(g.t, "the group did not switch in time")
	return expert.Activation{}
}

func TestGroup(t *testing.T) {
	for _, lossRate := range []float64{0, 0.3} {
		t.Run(fmt.Sprintf("switches to a better map with %.0f%% of messages lost", lossRate*100), func(t *testing.T) {
			g := newGroupSim(t, lossRate)
			g.startAll()
			activation := g.assertSwitches()
			assert.Less(t, expert.Skew(activation.Map, g.report().Layers), 1.2)
		})
	}
	t.Run("an agent that restarts gets the group's map", func(t *testing.T) {
		g := newGroupSim(t, 0.1)
		g.startAll()
		activation := g.assertSwitches()
		g.stops["agent2"]()
		g.start("agent2")
		assert.False(t, g.assertStep().Fence.Less(activation.Fence))
	})
	t.Run("a paused agent begins no step before its next tick", func(t *testing.T) {
		now := clock.Time(0)
		n := NewNode(Settings{Name: "a", Ranks: []string{"a"}, PauseTimeout: clock.Second}, clock.Manual(&now), 1)
		n.tick()
		n.markLoaded(expert.Fence{})
		n.Activate = func(context.Context, expert.Activation) error { return nil }
		_, err := n.BeginStep(context.Background(), 1)
		require.NoError(t, err)
		now = now.Add(5 * clock.Second)
		_, err = n.BeginStep(context.Background(), 2)
		require.ErrorIs(t, err, ErrStepNotReady)
	})
}

func TestGroupOverGRPC(t *testing.T) {
	g := newGroupSim(t, 0)
	g.send = overGRPC(t, g)
	g.startAll()
	g.assertSwitches()
}

func overGRPC(t *testing.T, g *groupSim) func(context.Context, string, *peerpb.SwitchMessage) error {
	clients := map[string]peerpb.GroupClient{}
	for _, name := range g.names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := grpc.NewServer()
		peerpb.RegisterGroupServer(server, &groupServer{sim: g, name: name})
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

// groupServer forwards calls to the current node of a name, which changes with a restart.
type groupServer struct {
	peerpb.UnimplementedGroupServer
	sim  *groupSim
	name string
}

func (s *groupServer) Switch(ctx context.Context, m *peerpb.SwitchMessage) (*peerpb.SwitchMessage, error) {
	s.sim.mu.Lock()
	n := s.sim.nodes[s.name]
	s.sim.mu.Unlock()
	if n == nil {
		return nil, errLost
	}
	return n.Switch(ctx, m)
}

func TestSelectPlanner(t *testing.T) {
	t.Run("does not depend on the order of the live agents", func(t *testing.T) {
		assert.Equal(t, SelectPlanner("g", []string{"a", "b", "c"}), SelectPlanner("g", []string{"c", "b", "a"}))
	})
	t.Run("does not change when another agent leaves", func(t *testing.T) {
		live := []string{"a", "b", "c"}
		chosen := SelectPlanner("g", live)
		for _, removed := range live {
			var rest []string
			for _, name := range live {
				if name != removed {
					rest = append(rest, name)
				}
			}
			if removed != chosen {
				assert.Equal(t, chosen, SelectPlanner("g", rest))
			}
		}
	})
	t.Run("is empty without live agents", func(t *testing.T) {
		assert.Empty(t, SelectPlanner("g", nil))
	})
}
