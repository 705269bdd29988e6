package engine

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

var testShape = Shape{Sets: 1, Experts: 8, Places: 3, Spare: 2, ExpertMB: 1, LinkMbps: 1000}

// answersOf returns the answers of four ranks whose requests chose expert 0 far more often, under the engines' first map.
func answersOf(asked int64, rounds int64) (answers []answer) {
	for rank := range 4 {
		counts := make([]int64, 8)
		for e := range counts {
			counts[e] = 1000 * rounds
		}
		counts[0] = 20_000 * rounds
		answers = append(answers, answer{
			Asked: asked, Group: "g", Rank: rank, Born: 1, Epoch: 1, Open: true, Step: rounds, Prepared: expert.None,
			Armed: expert.None, Held: expert.None, Busy: true, Experts: [][]int{{rank, rank + 4}}, Counts: [][]int64{counts},
		})
	}
	return answers
}

func TestDeskPlans(t *testing.T) {
	d := newDesk(4, 0, testShape)
	proposed, gain := false, 0.0
	for round := int64(1); round < 12 && !proposed; round++ {
		now := clock.Time(round * 60)
		for _, v := range answersOf(int64(now), round) {
			d.hear(now, v)
		}
		proposed, gain = d.plan(now, round*expert.Owners)
	}
	require.True(t, proposed)
	assert.Greater(t, gain, leastGain)
	commands := d.director.Tick(900, 1)
	require.Len(t, commands, 4)
	held := map[int]int{}
	for _, ranks := range commands[0].Map {
		for _, experts := range ranks {
			assert.LessOrEqual(t, len(experts), testShape.Places)
			for _, e := range experts {
				held[e]++
			}
		}
	}
	assert.Len(t, held, 8, "each expert is held and no free place is named")
	assert.Greater(t, held[0], 1, "the expert that is liked is held more than once")
}

func TestDeskKeepsStill(t *testing.T) {
	t.Run("while the ranks use different maps", func(t *testing.T) {
		d := newDesk(4, 0, testShape)
		for _, v := range answersOf(60, 1) {
			v.Version = int64(v.Rank % 2)
			d.hear(60, v)
		}
		proposed, _ := d.plan(60, expert.Owners)
		assert.False(t, proposed)
	})
	t.Run("after answers that fit no group", func(t *testing.T) {
		d := newDesk(4, 0, testShape)
		for _, v := range answersOf(60, 1) {
			v.Rank += 9
			d.hear(60, v)
			v.Rank, v.Counts = 1, nil
			d.hear(60, v)
		}
		proposed, _ := d.plan(60, expert.Owners)
		assert.False(t, proposed)
	})
	t.Run("while the gain still grows, but not for long", func(t *testing.T) {
		d := newDesk(4, 0, testShape)
		assert.True(t, d.growing(0.4))
		assert.True(t, d.growing(0.9))
		assert.False(t, d.growing(1.0))
		for range mostWaits {
			assert.True(t, d.growing(d.gain*2+1))
		}
		assert.False(t, d.growing(d.gain*2+1))
	})
}

func TestPeriod(t *testing.T) {
	assert.Equal(t, pollPeriod, Shape{Sets: 4, Experts: 64}.period(16))
	assert.Equal(t, clock.Span(72*12*144/pollNumbers), Shape{Sets: 12, Experts: 144}.period(72), "larger groups are polled less often")
}

// fakeGroup stands for the engines of a group: it carries orders out at once and begins a pass each few ms.
type fakeGroup struct {
	mu    sync.Mutex
	ranks []Report
	lists [][]int
	maps  map[int64]expert.Map
}

func (g *fakeGroup) rank(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(port)
}

func (g *fakeGroup) report(_ context.Context, address string) (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, err := g.rank(address)
	return g.ranks[rank], err
}

func (g *fakeGroup) counts(_ context.Context, address string, _ Shape) (Counts, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, err := g.rank(address)
	return Counts{Epoch: 1, Sets: answersOf(0, g.ranks[rank].Step)[rank].Counts}, err
}

func (g *fakeGroup) held(_ context.Context, address string) (Lists, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, err := g.rank(address)
	return Lists{Version: g.ranks[rank].Version, Sets: [][]int{g.lists[rank]}}, err
}

func (g *fakeGroup) order(_ context.Context, address string, c expert.Command) (expert.Reply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, err := g.rank(address)
	if err != nil || rank != c.Rank {
		return expert.ReplyLost, errors.Newf("order for rank %d at %s", c.Rank, address)
	}
	r := &g.ranks[rank]
	switch c.Op {
	case expert.OpPrepare:
		r.Prepared, g.maps[c.Version] = c.Version, c.Map
	case expert.OpArm:
		r.Armed, r.ArmedStep = c.Version, c.Step
	case expert.OpDisarm:
		r.Armed = expert.None
	case expert.OpHold:
		r.Held = c.Step
	case expert.OpGo:
		r.Held = expert.None
	}
	return expert.ReplyDone, nil
}

// pass begins the next pass unless its step is held.
func (g *fakeGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.ranks[0].Step + 1
	for _, r := range g.ranks {
		if r.Held == step {
			return
		}
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		r.Step = step
		if r.Armed != expert.None && r.ArmedStep == step {
			r.Version, r.Armed = r.Armed, expert.None
			g.lists[i] = g.maps[r.Version][0][i]
		}
	}
}

// TestAgentsSwitch runs four agents over loopback addresses until the group uses a better map.
func TestAgentsSwitch(t *testing.T) {
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	require.NoError(t, probe.Close())
	g := &fakeGroup{maps: map[int64]expert.Map{}}
	roster := Roster{Shape: testShape}
	for rank := range 4 {
		g.ranks = append(g.ranks, Report{
			Group: "g", Rank: rank, Size: 4, Born: 1,
			Standing: expert.Standing{Epoch: 1, Open: true, Prepared: expert.None, Armed: expert.None, Held: expert.None, Busy: true},
		})
		g.lists = append(g.lists, []int{rank, rank + 4})
		roster.Members = append(roster.Members, Member{Rank: rank, IP: "127.0.0." + strconv.Itoa(rank+1), Engine: "127.0.0.9:" + strconv.Itoa(rank)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var ended []chan error
	for _, m := range roster.Members {
		a := New(Settings{IP: m.IP, Port: port, Engine: m.Engine, Fencing: true},
			Dialect{Report: g.report, Counts: g.counts, Lists: g.held, Order: g.order}, clock.New(), log.NewNopLogger())
		a.join(roster)
		done := make(chan error, 1)
		ended = append(ended, done)
		go func() { done <- a.Run(ctx) }()
	}
	switched := func() bool {
		g.pass()
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ranks[0].Version > 0
	}
	assert.Eventually(t, switched, 20*time.Second, 10*time.Millisecond)
	cancel()
	for _, done := range ended {
		assert.NoError(t, <-done)
	}
	for _, r := range g.ranks {
		assert.Equal(t, g.ranks[0].Version, r.Version)
		assert.Equal(t, expert.None, r.Held)
	}
}
