package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/balance"
	"carawaypick/internal/engine"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// TestStartingEntryTakesPartOfAll guards against entries that divide a limit before they know the others.
func TestStartingEntryTakesPartOfAll(t *testing.T) {
	now := clock.Time(1)
	s := Settings{Name: "e", IP: "10.0.0.1", InternalPorts: []int{1, 2}, Seeds: []string{"10.0.0.1:9", "10.0.0.2:9"}}
	p := NewPeerSet(s, clock.Manual(&now), log.NewNopLogger(), NewLoadTracker(clock.Manual(&now)),
		func() heartbeat { return heartbeat{IP: s.IP} }, func(memberQuery) engine.MemberList { return engine.MemberList{} })
	receive := func() {
		p.handleHeartbeat(heartbeat{Name: "f", IP: "10.0.0.2", Born: 1, Number: uint64(now), Known: []peerAge{{IP: "10.0.0.3"}}})
	}
	p.nextMessage()
	assert.Empty(t, p.Entries().Alive, "no other was heard")
	receive()
	p.nextMessage()
	assert.Empty(t, p.Entries().Alive, "others may be unknown")
	now = now.Add(settleTime)
	receive()
	p.nextMessage()
	assert.Equal(t, []string{"e", "f"}, p.Entries().Alive)
	assert.Equal(t, 3, p.Entries().Known, "with the relayed one")
	now = now.Add(2 * peerTimeout)
	p.nextMessage()
	assert.Equal(t, []string{"e"}, p.Entries().Alive)
	assert.Equal(t, 3, p.Entries().Known, "silent ones may be alive")
	now = now.Add(memberExpiry)
	p.nextMessage()
	assert.Equal(t, 1, p.Entries().Known)
}

// TestIdleConnectionsFillServer guards against entries that each keep a connection to a server that accepts few.
func TestIdleConnectionsFillServer(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("front-", i))
	}
	sum := 0
	for _, name := range names {
		e := &Entry{peers: &PeerSet{}}
		e.peers.entries.Store(&balance.EntrySet{Self: name, Alive: names, Known: len(names)})
		sum += e.maxIdleConns(&routing.Server{ID: "i"}, routing.Service{MaxConnections: 100})
	}
	assert.Equal(t, 50, sum)
}

// coldService is a service whose servers accept 14 requests a second while cold.
var coldService = routing.Service{Name: "s", ColdRate: 14}

// TestRequestsAtOnceExceedPart guards against requests that see room before others have counted theirs.
func TestRequestsAtOnceExceedPart(t *testing.T) {
	loads := NewLoadTracker(clock.New())
	entries := &balance.EntrySet{Self: "a", Alive: []string{"a", "b"}, Known: 2}
	loads.entries = func() *balance.EntrySet { return entries }
	servers := []*routing.Server{{ID: "i", Slots: 100, ColdUntil: clock.New().Now().Add(clock.Minute)}}
	var chosen atomic.Int64
	var work sync.WaitGroup
	for range 64 {
		work.Go(func() {
			if i, _, closed := loads.Choose(servers, coldService, nil, "z"); i >= 0 {
				chosen.Add(1)
			} else {
				assert.True(t, closed.Limited)
			}
		})
	}
	work.Wait()
	assert.EqualValues(t, 7, chosen.Load())
}

func TestRoomOfColdServers(t *testing.T) {
	now := clock.Time(1000)
	loads := NewLoadTracker(clock.Manual(&now))
	entries := &balance.EntrySet{Self: "a", Alive: []string{"a"}, Known: 1}
	loads.entries = func() *balance.EntrySet { return entries }
	limit := func(slots int) float64 { return float64(slots) }
	cold, warm := &routing.Server{ID: "i", Slots: 20, ColdUntil: 9000}, &routing.Server{ID: "j", Slots: 20}
	room := func(servers ...*routing.Server) Room { return loads.Room(servers, coldService, limit) }
	t.Run("a cold server has room for the rest of its part", func(t *testing.T) {
		assert.Equal(t, Room{Requests: 14, Rate: 14}, room(cold))
		loads.Choose([]*routing.Server{cold}, coldService, nil, "z")
		assert.Equal(t, Room{Requests: 14, Rate: 14}, room(cold), "13 beside the one in flight")
		loads.End("i", balance.Success)
		assert.Equal(t, Room{Requests: 13, Rate: 14}, room(cold))
		assert.Equal(t, Room{Requests: 33}, room(cold, warm))
	})
	t.Run("a server that is down has none, unless all are down", func(t *testing.T) {
		loads.serverLoad("j").health.Record(now, balance.Unreachable)
		assert.Equal(t, Room{Requests: 13, Rate: 14}, room(cold, warm))
		assert.Equal(t, Room{Requests: 20}, room(warm))
	})
	t.Run("none is open to an entry without a part", func(t *testing.T) {
		entries = &balance.EntrySet{Self: "a", Known: 33}
		assert.Equal(t, Room{Closed: true}, room(cold, warm))
		assert.Equal(t, Room{Requests: 20}, room(warm))
	})
}

// TestColdServersKeepCallersWaiting guards against requests that wait for servers which accept none from this entry.
func TestColdServersKeepCallersWaiting(t *testing.T) {
	backend := newFakeBackend(t, respondOK)
	e, url := newTestEntry(t, backend)
	entries := &balance.EntrySet{Self: "e", Known: 33}
	e.loads.entries = func() *balance.EntrySet { return entries }
	view := *e.state.View()
	view.Config.Services["s"] = coldService
	view.Servers["i0"].ColdUntil = e.clock.Now().Add(clock.Minute)
	e.state.view.Store(&view)
	got, err := doRequest(t, t.Context(), http.MethodGet, url+"/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, backend.count())
}

// TestRestartedServerIsTakenForWarm guards a backend server that comes back cold under a registration that doesn't say so.
func TestRestartedServerIsTakenForWarm(t *testing.T) {
	limited := func(e *Entry) bool {
		view := e.state.View()
		_, chosen, _ := e.loads.Choose(view.Services["s"], coldService, nil, "z")
		return chosen.Limited
	}
	send := func(t *testing.T, answer backendHandler) *Entry {
		backend := newFakeBackend(t, answer)
		e, url := newTestEntry(t, backend)
		e.state.View().Config.Services["s"] = coldService
		require.False(t, limited(e))
		_, err := doRequest(t, t.Context(), http.MethodGet, url+"/unsafe/x", "")
		require.NoError(t, err)
		return e
	}
	t.Run("an answer says that it is cold", func(t *testing.T) {
		assert.True(t, limited(send(t, func(conn net.Conn, r *http.Request) {
			respond(conn, r, "200 OK\nId: $ID\nSeal: s\nCold: 3000\nContent-Length: 5\n\nhello")
		})))
	})
	t.Run("an answer says nothing", func(t *testing.T) {
		assert.False(t, limited(send(t, respondOK)))
	})
	t.Run("its address refused a connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		e, url := newTestEntry(t, &fakeBackend{address: listener.Addr().String()})
		e.state.View().Config.Services["s"] = coldService
		_, err = doRequest(t, t.Context(), http.MethodGet, url+"/unsafe/x", "")
		require.NoError(t, err)
		e.loads.serverLoad("i0").health.Record(0, balance.Success)
		assert.True(t, limited(e))
	})
	t.Run("another entry reports its crash", func(t *testing.T) {
		e, _ := newTestEntry(t, newFakeBackend(t, respondOK))
		report := crashReport{ID: crashID(e.state.View().Servers["i0"]), Contents: []uint64{1}}
		e.mergeEvidence(evidence{Crashes: []crashReport{report}}, "f")
		assert.True(t, limited(e))
	})
}

// BenchmarkAdmission measures the room and the choice for one request among 72 servers and 32 peers.
func BenchmarkAdmission(b *testing.B) {
	loads := NewLoadTracker(clock.New())
	var servers []*routing.Server
	inFlight := make(map[string]int)
	for i := range 72 {
		servers = append(servers, &routing.Server{ID: fmt.Sprint("i-", i), Slots: 10})
		inFlight[servers[i].ID] = 1
	}
	for i := range 32 {
		loads.SetPeerInFlight(fmt.Sprint("10.0.0.", i), inFlight)
	}
	for b.Loop() {
		loads.Room(servers, coldService, func(slots int) float64 { return float64(slots) })
		loads.TotalInFlight(servers)
		i, _, _ := loads.Choose(servers, coldService, nil, "z")
		loads.End(servers[i].ID, balance.Neutral)
	}
}
