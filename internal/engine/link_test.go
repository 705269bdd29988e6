package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// groupSize is a group with the throughput of its agents' links in Mbit/s.
type groupSize struct {
	ranks, sets, experts, slots int
	mbps                        float64
}

var groupSizes = []groupSize{
	{1, 4, 64, 5, 20}, {12, 4, 72, 8, 20}, {16, 4, 64, 5, 20}, {63, 8, 252, 5, 8}, {72, 12, 144, 3, 8}, {192, 10, 384, 3, 6}, {400, 10, 400, 3, 6},
}

func (g groupSize) shape() Shape {
	return Shape{Sets: g.sets, Experts: g.experts, SlotsPerRank: g.slots, MaxAdded: 2}
}

func (g groupSize) bytesPerMs() float64 {
	return g.mbps * 1000 / 8
}

func (g groupSize) budget() linkBudget {
	return newLinkBudget(g.bytesPerMs(), g.ranks, g.shape())
}

// counts returns counts of which a few experts have most, times the number of ranks that they are summed over.
func (g groupSize) counts(ranks int) (counts [][]int64) {
	random := rand.New(rand.NewPCG(1, uint64(g.ranks)))
	zipf := rand.NewZipf(random, 1.3, 8, uint64(g.experts-1))
	counts = g.shape().zeroCounts()
	for set := range counts {
		for range 1500 * ranks {
			counts[set][zipf.Uint64()]++
		}
	}
	return counts
}

// wireSize returns the bytes that a message takes on a link.
func wireSize(t *testing.T, m message) float64 {
	const headers = 42 // of Ethernet, IP and UDP
	content, err := datagram.Encode(m)
	require.NoError(t, err)
	return float64(len(content) + headers)
}

func forEachSize(t *testing.T, test func(t *testing.T, g groupSize)) {
	for _, g := range groupSizes {
		t.Run(fmt.Sprintf("%d ranks at %g Mbit a second", g.ranks, g.mbps), func(t *testing.T) { test(t, g) })
	}
}

// TestTrafficFitsLink checks that what arrives at a coordinator, and at an agent that collects counts for it, leaves 0.3 of
// the link free, with any number of ranks.
func TestTrafficFitsLink(t *testing.T) {
	const usedShare = 0.7
	forEachSize(t, func(t *testing.T, g groupSize) {
		b := g.budget()
		status := pollReply{RequestedAt: 1 << 40, Group: "g0-0", Rank: g.ranks, StartedAt: 1 << 40, Epoch: 3, Open: true, Step: 1 << 20, Version: 1 << 50, Prepared: 1 << 50, Armed: 1 << 50, ArmedStep: 1 << 20, Held: 1 << 20, Slowdown: 1.1}
		counts := wireSize(t, message{CountReply: &countReply{Group: "g0-0", Round: 1 << 20, Ranks: 1, Counts: g.counts(1)}})
		statuses := float64(g.ranks) * wireSize(t, message{PollReply: &status}) / float64(b.pollInterval(false))
		used, inBatch := statuses, 0.0
		if b.countsFit() {
			used += float64(g.ranks) * counts / float64(b.countInterval())
		} else {
			batch := b.batchSize()
			sum := wireSize(t, message{CountReply: &countReply{Group: "g0-0", Round: 1 << 20, Ranks: batch, Counts: g.counts(batch)}})
			used += float64(g.ranks) / float64(batch) * sum / float64(b.countInterval())
			inBatch = float64(batch) * counts / float64(b.countInterval())
		}
		t.Logf("statuses each %d ms, counts each %d ms, %.2f of the coordinator's link, %.2f of that of an agent that collects", b.pollInterval(false), b.countInterval(), used/g.bytesPerMs(), inBatch/g.bytesPerMs())
		assert.Less(t, used, usedShare*g.bytesPerMs(), "bytes per ms at the coordinator")
		assert.Less(t, inBatch, usedShare*g.bytesPerMs(), "bytes per ms at an agent that collects counts")
		switching := float64(g.ranks) * wireSize(t, message{PollReply: &status}) / float64(b.pollInterval(true))
		assert.Less(t, switching, usedShare*g.bytesPerMs(), "bytes per ms at the coordinator during a switch")
	})
}

// TestMapArrivesBeforeItIsSentAgain checks that the link of a coordinator carries a map to all ranks before the coordinator
// sends it again, and that a message with a map fits into a datagram.
func TestMapArrivesBeforeItIsSentAgain(t *testing.T) {
	forEachSize(t, func(t *testing.T, g groupSize) {
		random := rand.New(rand.NewPCG(1, 1))
		m := make(expert.Map, g.sets)
		for set := range m {
			for rank := range g.ranks {
				row := []int{}
				for slot := range g.slots {
					e := (slot*g.ranks + rank) % g.experts
					if slot*g.ranks+rank >= g.experts || random.IntN(8) == 0 {
						e = random.IntN(g.experts)
					}
					row = append(row, e)
				}
				m[set] = append(m[set], row)
			}
		}
		c := newMapController(g.ranks, 0, g.shape(), g.bytesPerMs())
		var relays []relayedCommand
		packed := packMap(m, nil, 0, g.experts)
		unpacked, ok := packed.unpack(nil)
		assert.True(t, ok)
		assert.Equal(t, m, unpacked)
		for rank := 1; rank < g.ranks; rank++ {
			relays = append(relays, relayedCommand{Command: expert.Command{ID: uint64(rank), Rank: rank, Op: expert.OpPrepare, Version: 1 << 50, Epoch: 3, Fence: 1 << 50}, Map: &packed, ReplyTo: "10.1.0.33", Targets: []relayTarget{{ID: uint64(rank), Rank: rank, IP: "10.1.0.34"}}})
		}
		sent, relayed, seen := 0.0, 0.0, map[int]int{}
		for _, r := range c.batchRelays(relays, true) {
			sent += wireSize(t, message{Command: &r})
			relayed = max(relayed, float64(len(r.Targets)-1)*wireSize(t, message{Command: &r}))
			for _, target := range r.Targets {
				seen[target.Rank]++
			}
		}
		assert.Len(t, seen, len(relays), "every rank is a target")
		for rank, times := range seen {
			assert.Equal(t, 1, times, "rank %d", rank)
		}
		took := clock.Span((sent + relayed) / g.bytesPerMs())
		after := max(c.coordinator.ResendPrepareAfter, 400)
		t.Logf("%.0f bytes from the coordinator, %.0f from an agent that relays, %d ms; sent again after %d ms", sent, relayed, took, after)
		assert.Less(t, took, after, "ms until the map has arrived")
	})
}

func TestBudgetOfUnknownLink(t *testing.T) {
	assert.Equal(t, newLinkBudget(defaultLinkRate, 72, testShape), newLinkBudget(0, 72, testShape))
}

func TestCollectionsCoverAllRanks(t *testing.T) {
	g := groupSize{192, 10, 384, 3, 6}
	c := newMapController(g.ranks, 0, g.shape(), g.bytesPerMs())
	var members []Member
	for rank := range g.ranks {
		members = append(members, Member{Rank: rank, IP: fmt.Sprint("ip", rank)})
		c.receivedAt[rank] = 1000
	}
	c.receivedAt[7] = 1
	leaders, collections := c.nextCollections(1100, "g", 0, "ip0", members)
	require.Len(t, leaders, len(collections))
	asked := map[string]int{}
	for i, next := range collections {
		asked[leaders[i]]++
		for _, ip := range next.Members {
			asked[ip]++
		}
	}
	assert.Len(t, asked, g.ranks-2, "all but the coordinator and an unresponsive rank")
	for ip, times := range asked {
		assert.Equal(t, 1, times, ip)
	}
	again, _ := c.nextCollections(1101, "g", 0, "ip0", members)
	assert.Empty(t, again, "before the counts of this collection could arrive")
	for range collections {
		c.receiveSum(countReply{Round: 1, Counts: g.counts(1)})
	}
	assert.Zero(t, c.batchesMissing)
	c.receiveSum(countReply{Round: 1, Counts: g.counts(1)})
	assert.Zero(t, c.batchesMissing, "a repeated sum")
}

func TestMergeMembers(t *testing.T) {
	known := []Member{{Rank: 0, IP: "a"}, {Rank: 1, IP: "b"}, {Rank: 2, IP: "c"}}
	silent := func(int) bool { return false }
	list := func(members ...Member) map[int][]Member {
		listed := make(map[int][]Member)
		for _, m := range members {
			listed[m.Rank] = append(listed[m.Rank], m)
		}
		return listed
	}
	assert.Equal(t, []Member{{Rank: 0, IP: "a"}, {Rank: 1, IP: "new"}, {Rank: 2, IP: "c"}}, mergeMembers(known, list(Member{Rank: 1, IP: "new"}), 3, silent))
	assert.Equal(t, []Member{{Rank: 0, IP: "a"}, {Rank: 1, IP: "b"}}, mergeMembers(known, nil, 2, silent), "a smaller group")
	assert.Equal(t, []Member{{Rank: 0, IP: "a"}, {Rank: 1, IP: "b"}, {Rank: 2, IP: "new"}},
		mergeMembers(known, list(Member{Rank: 1, IP: "new"}, Member{Rank: 2, IP: "old"}, Member{Rank: 2, IP: "new"}), 3, func(rank int) bool { return rank == 1 }),
		"an agent that responds keeps its rank, and the last one listed is preferred")
}

// TestPlanningSilencesNoAgent checks that a coordinator which searched for a plan for long takes no agent for unresponsive, nor
// sends maps to the engines themselves.
func TestPlanningSilencesNoAgent(t *testing.T) {
	g := groupSize{192, 10, 384, 3, 6}
	c := newMapController(g.ranks, 0, g.shape(), g.bytesPerMs())
	for rank := range c.receivedAt {
		c.receivedAt[rank] = 1000
	}
	c.plannedAt = 5000
	assert.True(t, c.responds(5000, 7))
	assert.True(t, c.responds(clock.Time(4999).Add(c.budget.agentTimeout()), 7))
	assert.False(t, c.responds(clock.Time(5000).Add(c.budget.agentTimeout()), 7))
}

func TestPlansOfSlowCountsAreNotDeferred(t *testing.T) {
	small, large := groupSizes[1], groupSizes[5]
	assert.Equal(t, 3, newMapController(small.ranks, 0, small.shape(), small.bytesPerMs()).maxDeferrals())
	assert.Zero(t, newMapController(large.ranks, 0, large.shape(), large.bytesPerMs()).maxDeferrals())
}

func TestPackedMap(t *testing.T) {
	base := expert.Map{{{0, 2}, {1, 3, 0}}}
	m := expert.Map{{{0, 2, 1}, {1, 2, 0}}}
	packed := packMap(m, base, 7, 4)
	t.Run("is unpacked with its base", func(t *testing.T) {
		got, ok := packed.unpack(base)
		assert.True(t, ok)
		assert.Equal(t, m, got)
	})
	t.Run("is refused with another base of the same version", func(t *testing.T) {
		_, ok := packed.unpack(expert.Map{{{2, 0}, {1, 3, 0}}})
		assert.False(t, ok, "the experts of a rank in another order")
		_, ok = packed.unpack(nil)
		assert.False(t, ok)
	})
	t.Run("is refused if it names no experts", func(t *testing.T) {
		_, ok := packedMap{Slots: [][][]int{{{1}}}}.unpack(nil)
		assert.False(t, ok)
	})
	t.Run("an agent keeps the newest bases", func(t *testing.T) {
		maps := make(preparedMaps)
		for version := range int64(10) {
			maps.add(version+1, m)
		}
		assert.Len(t, maps, maxPreparedMaps)
		_, ok := maps.base(10)
		assert.True(t, ok)
		_, ok = maps.base(1)
		assert.False(t, ok)
		first, ok := maps.base(0)
		assert.True(t, ok)
		assert.Nil(t, first)
	})
}

// TestAgentWithoutBase restarts no engine but lets an agent forget all maps, as after its own restart: it must get the whole
// map, and no other one.
func TestAgentWithoutBase(t *testing.T) {
	base, m := expert.Map{{{0, 4}, {1, 5}, {2, 6}, {3, 7}}}, expert.Map{{{0, 4, 1}, {1, 5}, {2, 6}, {3, 7, 0}}}
	newAgent := func(known bool) *Agent {
		a := &Agent{maps: make(preparedMaps), group: MemberList{Shape: testShape}}
		if known {
			a.maps.add(9, base)
		}
		return a
	}
	coordinator := newAgent(true)
	coordinator.controller = newMapController(4, 0, testShape, 0)
	coordinator.controller.statuses[0].Version = 9
	coordinator.controller.lacksBase[2] = true
	var relays []relayedCommand
	for rank := 1; rank < 4; rank++ {
		relays = append(relays, relayedCommand{Command: expert.Command{Rank: rank, Op: expert.OpPrepare, Version: 10, Map: m}})
	}
	coordinator.packMaps(relays)
	for _, r := range relays {
		known := newAgent(r.Command.Rank != 2)
		require.True(t, known.unpackMap(&r), "rank %d", r.Command.Rank)
		assert.Equal(t, m, r.Command.Map)
		again, ok := known.maps.base(10)
		assert.True(t, ok, "the next map may be sent as its difference from this one")
		assert.Equal(t, m, again)
	}
	relays[2].Command.Map = nil
	assert.False(t, newAgent(false).unpackMap(&relays[2]))
}

// TestOddMemberList guards against agents that end, or poll nobody, after a list of an entry of another release.
func TestOddMemberList(t *testing.T) {
	agent := func(lists ...MemberList) *Agent {
		a := New(Settings{}, Client{}, clock.New(), log.NewNopLogger())
		for _, l := range lists {
			a.setGroup(l)
		}
		return a
	}
	sound := MemberList{Members: []Member{{Rank: 0, IP: "10.0.0.1", Engine: "10.0.0.1:80"}}, Shape: testShape}
	for name, shape := range map[string]Shape{
		"sets": {Sets: 1 << 40}, "experts": {Sets: 1, Experts: -1}, "counts": {Sets: 1 << 10, Experts: 1 << 10}, "slots": {SlotsPerRank: 1 << 40},
		"size": {ExpertMB: -1}, "link": {LinkMbps: -1},
	} {
		t.Run(name, func(t *testing.T) {
			a := agent(sound, MemberList{Members: sound.Members, Shape: shape})
			assert.Equal(t, testShape, a.group.Shape)
		})
	}
	t.Run("members", func(t *testing.T) {
		a := agent(MemberList{Shape: testShape, Members: []Member{
			{Rank: -1, IP: "10.0.0.2", Engine: "10.0.0.2:80"},
			{Rank: 1 << 40, IP: "10.0.0.2", Engine: "10.0.0.2:80"},
			{Rank: 1, IP: "host", Engine: "10.0.0.2:80"},
			{Rank: 1, IP: "10.0.0.2", Engine: "host:80"},
			sound.Members[0],
		}})
		assert.Equal(t, sound.Members, a.group.Members)
	})
}

// TestSeveralEnginesAsOneRank guards against a group without maps since an entry lists an engine that another writer registered as
// a rank: the agents tell their ranks.
func TestSeveralEnginesAsOneRank(t *testing.T) {
	member := func(rank int, host string) Member { return Member{Rank: rank, IP: host, Engine: host + ":80"} }
	sound := []Member{member(0, "10.0.0.1"), member(1, "10.0.0.2"), member(2, "10.0.0.3")}
	now := clock.Time(1000)
	a := New(Settings{}, Client{}, clock.Manual(&now), log.NewNopLogger())
	a.report.Group, a.report.GroupSize = "g", 3
	a.controller = newMapController(3, 0, testShape, 0)
	list := MemberList{Shape: testShape, Members: append(slices.Clone(sound), member(1, "10.9.9.9"), member(2, "10.0.0.2"))}
	a.setGroup(list)
	assert.Equal(t, "10.9.9.9", a.group.Members[1].IP, "the last one listed")
	assert.Len(t, a.candidatesOf(now, a.group.Members[1]), 2)
	status := func(rank int, from string) {
		a.handleMessage(t.Context(), from, message{PollReply: &pollReply{Group: "g", Rank: rank, RequestedAt: int64(now)}})
	}
	status(1, "10.0.0.2")
	status(2, "10.0.0.3")
	assert.Equal(t, sound, a.group.Members)
	a.setGroup(list)
	assert.Equal(t, sound, a.group.Members, "they respond")
	assert.Len(t, a.candidatesOf(now, a.group.Members[1]), 1)
	now += 10_000
	status(2, "10.0.0.9")
	assert.Equal(t, sound, a.group.Members, "not one of the candidates")
	status(1, "10.9.9.9")
	assert.Equal(t, "10.9.9.9", a.group.Members[1].IP, "it is the rank now")
	t.Run("many", func(t *testing.T) {
		for n := range 100 {
			list.Members = append(list.Members, member(1, "10.1.0."+strconv.Itoa(n)))
		}
		a.setGroup(list)
		assert.Len(t, a.candidates[1], MaxCandidates)
	})
}
