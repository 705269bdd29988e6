package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/balance"
	"carawaypick/internal/datagram"
	"carawaypick/internal/routing"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// plainView returns a view with the given number of servers of a plain service.
func plainView(count int) *routing.View {
	v := &routing.View{Servers: map[string]*routing.Server{}}
	for i := range count {
		id := fmt.Sprintf("i-%03d", i)
		v.Servers[id] = &routing.Server{ID: id, Service: "s", Slots: 6, StartedAt: 1, Address: id}
	}
	v.IndexServers(0)
	return v
}

// newTestTracker returns a tracker with coordinated admission of an entry among count.
func newTestTracker(now *clock.Time, v *routing.View, self string, count int) *LoadTracker {
	t := NewLoadTracker(clock.Manual(now))
	set := &balance.EntrySet{Self: self, Known: count}
	for i := range count {
		set.Alive = append(set.Alive, fmt.Sprint("e", i))
	}
	t.entries, t.Coordinated = func() *balance.EntrySet { return set }, func() bool { return true }
	t.Prune(v)
	return t
}

// refusedShare replays nine entries with six calls a second each while three of four servers reject at once, and returns the
// share of calls for which all of the given number of attempts failed.
func refusedShare(seed uint64, attempts int, coordinated bool) float64 {
	const entries, perSecond, heartbeats, duration = 9, 6.0, 100, clock.Time(3000)
	now, v, random := clock.Time(1), plainView(4), rand.New(rand.NewPCG(seed, 1))
	var trackers []*LoadTracker
	for i := range entries {
		t := newTestTracker(&now, v, fmt.Sprint("e", i), entries)
		t.Coordinated = func() bool { return coordinated }
		trackers = append(trackers, t)
	}
	servers := v.Services["s"]
	tell := func(i int) {
		for k, t := range trackers {
			if k != i {
				t.MergeCapacityReports(fmt.Sprint(i), trackers[i].CapacityReports())
				t.SetPeerInFlight(fmt.Sprint(i), trackers[i].InFlight())
			}
		}
	}
	calls, refused := 0, 0
	for ; now < duration; now++ {
		for i, t := range trackers {
			if int(now)%heartbeats == i*heartbeats/entries {
				tell(i)
			}
			if random.Float64() >= perSecond/1000 {
				continue
			}
			calls++
			var tried []string
			served := false
			for len(tried) < attempts && !served {
				n, _, _ := t.Choose(servers, routing.Service{Name: "s"}, tried, "z")
				if n < 0 {
					break
				}
				s := servers[n]
				tried = append(tried, s.ID)
				if served = n == 3; served {
					t.RecordTaken(s, now)
					t.RecordSample(s, sentRequest{at: now, before: 1, running: 1})
				} else {
					t.RecordTurnedAway(s, 0)
					t.RecordSample(s, sentRequest{at: now, failed: true})
					if t.RejectionIsNews(s) {
						tell(i)
					}
				}
				t.End(s.ID, balance.Neutral)
			}
			if !served {
				refused++
			}
		}
	}
	return float64(refused) / float64(calls)
}

// TestRejectionsReachOtherEntries guards against entries that each learn from rejections of their own callers that a server
// rejects at once. The bound is from the requirements.
func TestRejectionsReachOtherEntries(t *testing.T) {
	const bound, seeds = 0.1, 8
	for _, attempts := range []int{1, 2} { // one if the retry budget is used up
		together, alone := 0.0, 0.0
		for seed := range uint64(seeds) {
			together += refusedShare(seed, attempts, true) / seeds
			alone += refusedShare(seed, attempts, false) / seeds
		}
		t.Logf("%d attempts: refused %.3f with coordinated admission, %.3f without", attempts, together, alone)
		assert.Less(t, together, bound)
		assert.Less(t, together, alone)
	}
}

func TestCapacityReports(t *testing.T) {
	t.Run("nothing is sent, learned or chosen by it without coordinated admission", func(t *testing.T) {
		now, v := clock.Time(1000), plainView(3)
		tracker := newTestTracker(&now, v, "e0", 2)
		s := v.Services["s"][0]
		tracker.RecordSample(s, sentRequest{at: 0, before: 1, running: 1})
		reports := tracker.CapacityReports()
		require.Len(t, reports, 1)
		tracker.Coordinated = nil
		assert.Empty(t, tracker.CapacityReports())
		before := tracker.serverLoad(s.ID).capacity
		reports[0].Rejected = 1
		tracker.MergeCapacityReports("p", reports)
		assert.Equal(t, before, tracker.serverLoad(s.ID).capacity)
		assert.False(t, tracker.serverLoad(s.ID).turnAway.Closed(now, false))
		assert.False(t, tracker.RejectionIsNews(s))
		assert.Nil(t, tracker.AddWork(&routing.Server{ID: "r", Group: "g"}, "s", balance.RequestSize{}))
		room := tracker.Room(v.Services["s"], routing.Service{Name: "s"}, func(slots int) float64 { return float64(slots) })
		assert.Equal(t, 18.0, room.Requests)
	})
	t.Run("are small and tell of all servers in turn", func(t *testing.T) {
		now, v := clock.Time(100_000), plainView(100)
		tracker := newTestTracker(&now, v, "e0", 2)
		seen := make(map[uint]bool)
		for range 20 {
			for _, s := range v.Services["s"] {
				tracker.RecordSample(s, sentRequest{at: 50_000, before: 900, running: 900})
			}
			reports := tracker.CapacityReports()
			content, err := datagram.Encode(reports)
			require.NoError(t, err)
			assert.LessOrEqual(t, len(content), maxCapacityBytes+3, "bytes with the header of the array")
			assert.LessOrEqual(t, len(reports), maxCapacityReports)
			var decoded []capacityReport
			require.NoError(t, datagram.Decode(content, &decoded))
			assert.Equal(t, reports, decoded)
			for _, r := range reports {
				seen[r.Server] = true
			}
		}
		assert.Len(t, seen, 100)
	})
	t.Run("a new incarnation starts anew", func(t *testing.T) {
		now, v := clock.Time(1000), plainView(2)
		tracker := newTestTracker(&now, v, "e0", 2)
		service, servers := routing.Service{Name: "s"}, v.Services["s"]
		for range 100 {
			now += 10
			tracker.RecordSample(servers[0], sentRequest{target: 100, at: now - 5, before: 1, running: 1})
			tracker.RecordSample(servers[1], sentRequest{target: 100, at: now - 900, before: 1, running: 1})
		}
		all := func(slots int) float64 { return float64(slots) }
		slow := tracker.Room(servers, service, all).Requests
		assert.Less(t, slow, 9.0)
		old := tracker.CapacityReports()
		next := *servers[1]
		next.StartedAt++
		v.Servers[next.ID] = &next
		v.IndexServers(0)
		tracker.Prune(v)
		tracker.MergeCapacityReports("p", old)
		assert.Equal(t, 12.0, tracker.Room(v.Services["s"], service, all).Requests, "reports of the earlier incarnation must not count")
	})
	t.Run("a report with failures alone is kept", func(t *testing.T) {
		now, v := clock.Time(1000), plainView(1)
		tracker, peer := newTestTracker(&now, v, "e0", 2), newTestTracker(&now, v, "e1", 2)
		s := v.Services["s"][0]
		tracker.RecordSample(s, sentRequest{at: 990, before: 1, running: 1})
		now += 2200 // the answer counts for less than a part of a sample by now
		for range 4 {
			tracker.RecordSample(s, sentRequest{failed: true})
		}
		peer.MergeCapacityReports("e0", tracker.CapacityReports())
		room := peer.Room(v.Services["s"], routing.Service{Name: "s"}, func(slots int) float64 { return float64(slots) })
		assert.Equal(t, 1.0, room.Requests)
	})
	t.Run("a peer's invalid samples change nothing", func(t *testing.T) {
		now, v := clock.Time(1000), plainView(1)
		tracker := newTestTracker(&now, v, "e0", 2)
		s := v.Services["s"][0]
		tracker.MergeCapacityReports("p", []capacityReport{
			{Server: uint(capacityKey(s)), Concurrency: -4, Time: 10, Answered: 64},
			{Server: uint(capacityKey(s)), Time: 1 << 60, Answered: 64},
			{Server: uint(capacityKey(s)), Failed: -1},
			{Server: 7, Time: 400, Answered: 64},
			{Server: uint(capacityKey(s)), Answered: 64, Rejected: -5},
		})
		assert.Equal(t, -1, int(balance.LearnCapacities(now, []*balance.ServerCapacity{&tracker.serverLoad(s.ID).capacity}, []int{6}, 0, balance.CapacityBounds{})[0].Age))
	})
}

// TestWorkIsBalanced guards against work that stays with a rank after its requests have ended.
func TestWorkIsBalanced(t *testing.T) {
	now := clock.Time(1)
	tracker := newTestTracker(&now, plainView(0), "e0", 2)
	s := &routing.Server{ID: "r", Service: "m", Group: "g", Slots: 10}
	size := balance.RequestSize{PromptTokens: 800, ExpectedOutputTokens: 97}
	for range 20 {
		placements := []*placement{tracker.AddWork(s, "m", size), tracker.AddWork(s, "m", size)}
		before := tracker.serverLoad("r").work
		tracker.RecordWorkEvent(placements[0])
		assert.Less(t, tracker.serverLoad("r").work, before, "a prompt that was read counts for less")
		for range 30 {
			tracker.RecordWorkEvent(placements[0])
		}
		for _, p := range placements {
			tracker.EndWork(p, p.events > 0)
		}
		assert.InDelta(t, 0, tracker.serverLoad("r").work, 1e-9)
	}
	tracker.RecordWorkEvent(nil)
	tracker.EndWork(nil, true)
}

// TestBadLoadIsLogged guards against loads that can't be right: each gives one line and no load.
func TestBadLoadIsLogged(t *testing.T) {
	var output bytes.Buffer
	now := clock.Time(1)
	e := &Entry{limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewLogfmtLogger(&output), Clock: clock.Manual(&now)}}
	s, c := &routing.Server{ID: "a"}, &call{}
	assert.Equal(t, 5, e.reportedLoad(c, s, ResponseHeaders{Running: 3, Waiting: 2, ServerID: "a"}))
	assert.Equal(t, -1, e.reportedLoad(c, s, ResponseHeaders{Running: -1}))
	assert.Empty(t, output.String())
	assert.Equal(t, -1, e.reportedLoad(c, s, ResponseHeaders{Running: -1, BadLoad: `Load: "-1,0,4"`}))
	assert.Equal(t, -1, e.reportedLoad(c, s, ResponseHeaders{Running: 3, ServerID: "b"}))
	assert.Equal(t, 2, strings.Count(output.String(), "\n"))
}

// TestCapacityLogAndMetrics checks that a capacity that changes by a quarter is logged once, and that the worst servers are
// metrics by name.
func TestCapacityLogAndMetrics(t *testing.T) {
	var output, text bytes.Buffer
	now, v := clock.Time(10_000), plainView(12)
	e := &Entry{
		limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewLogfmtLogger(&output), Clock: clock.Manual(&now)},
		loads:         newTestTracker(&now, v, "e0", 2), metrics: telemetry.NewMetrics(), state: &ClusterState{},
	}
	e.state.view.Store(v)
	for i, s := range v.Services["s"] {
		for range 20 {
			e.loads.RecordSample(s, sentRequest{target: 100, at: now - 20, before: 1, running: 1})
			if i == 4 {
				e.loads.RecordSample(s, sentRequest{failed: true})
			}
		}
	}
	for range 5 {
		e.observeCapacities()
	}
	assert.Equal(t, 1, strings.Count(output.String(), "\n"), output.String())
	assert.Contains(t, output.String(), "server=i-004")
	e.metrics.Write(&text)
	lines := slices.DeleteFunc(strings.Split(text.String(), "\n"), func(l string) bool { return !strings.Contains(l, "worst_capacity") })
	assert.Len(t, lines, worstServers)
	assert.Contains(t, text.String(), `worst_capacity{server="i-004"} 3`)
}

// TestEntryLearns guards against answers that reach no part of what an entry learns: samples of plain services, and the work and
// the hints of engines.
func TestEntryLearns(t *testing.T) {
	started := func(e *Entry) { // the time 0 stands for none
		assert.Eventually(t, func() bool { return e.clock.Now() > 1 }, time.Second, time.Millisecond)
	}
	get := func(t *testing.T, url string) {
		response, err := doRequest(t, t.Context(), "GET", url, "")
		require.NoError(t, err)
		assert.Equal(t, 200, response.status)
	}
	t.Run("samples of a plain service", func(t *testing.T) {
		e, url := newTestEntry(t, newFakeBackend(t, respondOK))
		e.loads.Coordinated = func() bool { return true }
		e.loads.Prune(e.state.View())
		started(e)
		get(t, url+"/safe/x")
		reports := e.loads.CapacityReports()
		require.Len(t, reports, 1)
		assert.Positive(t, reports[0].Answered)
		assert.Zero(t, reports[0].Failed)
	})
	t.Run("failures of a plain service", func(t *testing.T) {
		e, url := newTestEntry(t, newFakeBackend(t, func(conn net.Conn, r *http.Request) {
			respond(conn, r, "503 Unavailable\nId: $ID\nNotrun: 1\nContent-Length: 0\n\n")
		}))
		e.loads.Coordinated = func() bool { return true }
		e.loads.Prune(e.state.View())
		started(e)
		response, err := doRequest(t, t.Context(), "GET", url+"/safe/x", "")
		require.NoError(t, err)
		assert.Equal(t, 503, response.status)
		reports := e.loads.CapacityReports()
		require.Len(t, reports, 1)
		assert.Positive(t, reports[0].Failed)
		assert.Positive(t, reports[0].Rejected)
		assert.Zero(t, reports[0].Answered)
	})
	t.Run("work and hints of an engine", func(t *testing.T) {
		e, url := newTestEntry(t, newFakeBackend(t, streamEvents("4", true)))
		e.loads.Coordinated = func() bool { return true }
		parse := e.protocol.ParseRequest
		e.protocol.ParseRequest = func(h http.Header) RequestHeaders {
			r := parse(h)
			r.PromptTokens, r.ExpectedOutputTokens = 800, 20
			return r
		}
		e.state.View().Servers["i0"].Group = "g"
		for range 5 {
			get(t, url+"/stream/x")
		}
		assert.Eventually(t, func() bool {
			e.loads.mu.Lock()
			defer e.loads.mu.Unlock()
			return e.loads.serverLoad("i0").work == 0 && e.loads.workEstimator("s").PerEvent() == 0.25
		}, 2*time.Second, 5*time.Millisecond)
		assert.Empty(t, e.loads.CapacityReports(), "engines are not learned one by one")
	})
}

// TestServicesAreForgotten guards against memory that grows with each service that ever had servers.
func TestServicesAreForgotten(t *testing.T) {
	now, v := clock.Time(1), plainView(1)
	tracker := newTestTracker(&now, v, "e0", 1)
	s := v.Services["s"][0]
	_, _, _ = tracker.Choose(v.Services["s"], routing.Service{Name: "s"}, nil, "")
	tracker.RecordSample(s, sentRequest{target: 200, at: now, before: 1, running: 1})
	tracker.workEstimator("s")
	sizes := func() []int {
		l := tracker.learning
		return []int{len(l.targets), len(l.sizes), len(l.hints), len(l.choices)}
	}
	tracker.Prune(v)
	assert.Equal(t, []int{1, 1, 1, 1}, sizes())
	tracker.Prune(plainView(0))
	assert.Equal(t, []int{0, 0, 0, 0}, sizes())
}
