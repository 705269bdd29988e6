package engine

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
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
		for _, v := range answersOf(int64(now), 1) {
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
			v.Rank, v.Counts = 1, append(v.Counts, v.Counts...)
			d.hear(60, v)
		}
		assert.False(t, d.counted)
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

// TestRoundFitsLink replays the rounds of a group of 72 ranks whose director has a link of 8 Mbit/s.
func TestRoundFitsLink(t *testing.T) {
	const (
		ranks   = 72
		perMS   = 8_000_000 / 8 / 1000 // bytes
		headers = 42                   // bytes of Ethernet, IP and UDP
	)
	shape := Shape{Sets: 12, Experts: 144, Places: 3}
	assert.Equal(t, 1, Shape{Sets: 4, Experts: 64}.turns(16), "ranks of a small group are all asked in each round")
	counts := shape.zero()
	for set := range counts {
		for e := range counts[set] {
			counts[set][e] = int64(e * 2) // half of them take two bytes or more
		}
	}
	asked := make([]int, ranks)
	for round := range shape.turns(ranks) {
		a := &Agent{desk: newDesk(ranks, 0, shape)}
		a.desk.round = uint64(round)
		ask, size := a.ask(0), 0
		for rank := range ranks {
			p := ask(rank)
			v := answer{Asked: 1 << 40, Group: "g0-0", Rank: rank, Born: 1 << 40, Epoch: 3, Open: true, Step: 1 << 20, Version: 1 << 50, Busy: true, Pace: 1.1}
			if p.Counts {
				v.Counts = counts
				asked[rank]++
			}
			if p.Lists {
				v.Experts = [][]int{{1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}, {1, 2, 3}}
			}
			content, err := datagram.Encode(message{Answer: &v})
			require.NoError(t, err)
			size += len(content) + headers
		}
		assert.Less(t, size, perMS*int(pollPeriod), "answers of one round reach the director before the next")
	}
	for rank, times := range asked {
		assert.Equal(t, 1, times, "rank %d is asked once in all turns", rank)
	}
}

func TestBundle(t *testing.T) {
	relays := make([]relay, 71)
	for i := range relays {
		relays[i] = relay{Command: expert.Command{Op: expert.OpPrepare}, Onward: []onward{{ID: uint64(i), Rank: i}}}
	}
	t.Run("a large map goes to few processes, which pass it on", func(t *testing.T) {
		bundles := bundle(relays, Shape{Sets: 12, Experts: 144, Places: 3})
		assert.Len(t, bundles, 8)
		seen := map[int]int{}
		for _, b := range bundles {
			assert.LessOrEqual(t, len(b.Onward), 9)
			for _, o := range b.Onward {
				seen[o.Rank]++
			}
		}
		assert.Len(t, seen, 71, "each rank is named")
		for rank, times := range seen {
			assert.Equal(t, 1, times, "rank %d", rank)
		}
	})
	t.Run("a small map goes to all", func(t *testing.T) {
		assert.Len(t, bundle(relays[:15], Shape{Sets: 4, Experts: 64, Places: 5}), 15)
	})
	t.Run("other orders go to all", func(t *testing.T) {
		arms := slices.Clone(relays)
		for i := range arms {
			arms[i].Command.Op = expert.OpArm
		}
		assert.Len(t, bundle(arms, Shape{Sets: 12, Experts: 144, Places: 3}), 71)
	})
}

func TestCountsSince(t *testing.T) {
	a := &Agent{told: make(map[int]told)}
	assert.Nil(t, a.since(0, 1, Counts{Sets: [][]int64{{5, 7}}}), "nothing is known of the time before the first question")
	assert.Equal(t, [][]int64{{1, 0}}, a.since(0, 1, Counts{Sets: [][]int64{{6, 7}}}))
	assert.Nil(t, a.since(1, 1, Counts{Sets: [][]int64{{6, 7}}}), "each asker has a count of its own")
	assert.Nil(t, a.since(0, 2, Counts{Sets: [][]int64{{1, 1}}}), "an engine that started again counts from zero")
	assert.Nil(t, a.since(0, 2, Counts{Sets: [][]int64{{1, 1, 1}}}), "other experts than before")
	assert.Nil(t, a.since(directors, 2, Counts{}), "only processes that may direct are told")
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

// TestRelayOnward sends one map to a process that passes it on to another; both tell the director.
func TestRelayOnward(t *testing.T) {
	director, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, director.Close()) }()
	port := director.LocalAddr().(*net.UDPAddr).Port
	g := &fakeGroup{ranks: make([]Report, 3), maps: map[int64]expert.Map{}}
	ctx, cancel := context.WithCancel(t.Context())
	var ended []chan error
	for rank := 1; rank < 3; rank++ {
		a := New(Settings{IP: "127.0.0." + strconv.Itoa(rank+1), Port: port, Engine: "127.0.0.9:" + strconv.Itoa(rank)},
			Dialect{Report: g.report, Counts: g.counts, Lists: g.held, Order: g.order}, clock.New(), log.NewNopLogger())
		done := make(chan error, 1)
		ended = append(ended, done)
		go func() { done <- a.Run(ctx) }()
	}
	content, err := datagram.Encode(message{Order: &relay{
		Command:  expert.Command{ID: 7, Rank: 1, Op: expert.OpPrepare, Version: 5},
		Director: "127.0.0.1",
		Onward:   []onward{{ID: 8, Rank: 2, IP: "127.0.0.3"}},
	}})
	require.NoError(t, err)
	done := map[uint64]bool{}
	buffer := make([]byte, datagram.Most)
	assert.Eventually(t, func() bool {
		_, _ = director.WriteTo(content, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: port}) // until the process listens
		require.NoError(t, director.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		for {
			n, _, err := director.ReadFrom(buffer)
			if err != nil {
				return done[7] && done[8]
			}
			var m message
			if datagram.Decode(buffer[:n], &m) == nil && m.Reply != nil && m.Reply.Reply == expert.ReplyDone {
				done[m.Reply.ID] = true
			}
		}
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	for _, e := range ended {
		assert.NoError(t, <-e)
	}
	assert.Equal(t, int64(5), g.ranks[2].Prepared)
}
