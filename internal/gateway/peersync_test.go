package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/datagram"
	"carawaypick/internal/engine"
	"carawaypick/internal/store"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// newTestPeerSets returns the peer sets of count entries. The entries with an index in lost report that they lost the
// store; those with an index in dead send nothing.
func newTestPeerSets(now *clock.Time, count int, lost, dead []int) (all []*PeerSet) {
	ip := func(i int) string { return fmt.Sprintf("10.0.%d.%d", i%3, i) }
	for i := range count {
		s := Settings{Name: "e", IP: ip(i), InternalPorts: []int{1, 2}}
		p := NewPeerSet(s, clock.Manual(now), log.NewNopLogger(), NewLoadTracker(clock.Manual(now)),
			func() heartbeat { return heartbeat{IP: s.IP} }, func(memberQuery) engine.MemberList { return engine.MemberList{} })
		for j := range count {
			if j != i && !slices.Contains(dead, j) {
				p.handleHeartbeat(heartbeat{IP: ip(j), Number: 1, Lost: slices.Contains(lost, j)})
			}
		}
		all = append(all, p)
	}
	return all
}

func TestShouldReadStore(t *testing.T) {
	storeReaders := func(lost, dead []int) (indices []int) {
		now := clock.Time(1)
		for i, p := range newTestPeerSets(&now, 9, lost, dead) {
			if !slices.Contains(dead, i) && p.ShouldReadStore(slices.Contains(lost, i), store.Position{}) {
				indices = append(indices, i)
			}
		}
		return indices
	}
	initial := storeReaders(nil, nil)
	assert.Len(t, initial, maxStoreReaders)
	t.Run("another entry replaces one that failed", func(t *testing.T) {
		readers := storeReaders(nil, initial[:1])
		assert.Len(t, readers, maxStoreReaders)
		assert.NotContains(t, readers, initial[0])
	})
	t.Run("other entries replace those that lost the store", func(t *testing.T) {
		readers := storeReaders(initial, nil)
		assert.Len(t, readers, maxStoreReaders)
		assert.NotSubset(t, readers, initial[:1])
	})
	t.Run("the same entries keep trying if all lost the store", func(t *testing.T) {
		assert.Equal(t, initial, storeReaders([]int{0, 1, 2, 3, 4, 5, 6, 7, 8}, nil))
	})
	t.Run("a single entry reads the store", func(t *testing.T) {
		now := clock.Time(1)
		assert.True(t, newTestPeerSets(&now, 1, nil, nil)[0].ShouldReadStore(true, store.Position{}))
	})
}

func TestStoreReaderPullsFromPeers(t *testing.T) {
	now := clock.Time(1)
	storeCalls, pulls := 0, 0
	var fault error
	r := &StoreReader{
		State: newTestState(&now), Clock: clock.Manual(&now), Logger: log.NewNopLogger(),
		PeerSync: testPeerSync(false, func(context.Context) error { pulls++; return fault }),
		Protocol: Protocol{
			Range: func(context.Context, string) (StoreAnswer, error) {
				storeCalls++
				return StoreAnswer{Position: store.At(0, 1)}, nil
			},
			Watch: func(context.Context, string, store.Position, clock.Span) (StoreAnswer, error) {
				storeCalls++
				return StoreAnswer{Position: store.At(0, 1)}, nil
			},
		},
	}
	require.NoError(t, r.step(t.Context()))
	assert.Equal(t, 1, storeCalls, "an empty state is loaded from the store")
	require.NoError(t, r.step(t.Context()))
	assert.Equal(t, 1, storeCalls, "then updates are pulled from peers")
	fault = errors.New("peer is cut off")
	require.NoError(t, r.step(t.Context()))
	assert.Equal(t, 2, storeCalls, "the store is read if pulling fails")
	assert.Equal(t, 2, pulls)
	fault = nil
	r.recordFailure(errors.New("store is down"))
	require.NoError(t, r.step(t.Context()))
	assert.True(t, r.Lost(), "a pull from a peer does not tell whether the store can be read")
	assert.False(t, r.retryDue())
	now = now.Add(storeRetryDelay)
	require.True(t, r.retryDue(), "after storeRetryDelay the store may be tried again")
	require.NoError(t, r.check(t.Context()))
	assert.False(t, r.Lost())
}

// TestCompactedStoreIsFlooded guards against a reader that calls the store without a pause while each watch is answered
// that the changes are gone.
func TestCompactedStoreIsFlooded(t *testing.T) {
	const maxCalls = 8 // in 600 ms: each range and watch is followed by a pause of at least minRetryPause, which doubles
	now := clock.Time(1)
	calls := 0
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	r := &StoreReader{
		State: newTestState(&now), Clock: clock.Manual(&now), Logger: log.NewNopLogger(),
		PeerSync: testPeerSync(true, func(context.Context) error { return nil }),
		Protocol: Protocol{
			Range: func(context.Context, string) (StoreAnswer, error) {
				calls++
				return StoreAnswer{Position: store.At(0, 3)}, nil
			},
			Watch: func(context.Context, string, store.Position, clock.Span) (StoreAnswer, error) {
				calls++
				return StoreAnswer{}, ErrCompacted
			},
		},
	}
	require.NoError(t, r.Run(ctx))
	assert.LessOrEqual(t, calls, maxCalls)
}

// TestPeerWithClockBehindIsIgnored guards against a peer whose heartbeats count for nothing after it restarted on an
// instance whose clock is behind that of its last start.
func TestPeerWithClockBehindIsIgnored(t *testing.T) {
	const born = int64(1_000_000)
	now := clock.Time(1)
	p := newTestPeerSets(&now, 1, nil, nil)[0]
	heard := func(born int64, number uint64) bool {
		p.handleHeartbeat(heartbeat{IP: "10.0.0.9", Born: born, Number: number})
		last := p.peers["10.0.0.9"].lastMessage
		return last.Born == born && last.Number == number
	}
	require.True(t, heard(born, 50))
	now = now.Add(heartbeatInterval)
	assert.False(t, heard(born-60_000, 9), "a late message of an earlier incarnation")
	assert.False(t, heard(born, 49), "a reordered message")
	now = now.Add(restartSilence)
	assert.True(t, heard(born-60_000, 1), "the next incarnation")
	assert.True(t, heard(born-60_000, 2))
	assert.True(t, heard(born+1, 1), "one with a later clock again")
}

// TestPulledStateMatchesStoreReader guards against a follower that misses changes or removals, whatever the order of
// changes, store calls and pulls.
func TestPulledStateMatchesStoreReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Time(1)
		reader, follower := newTestState(&now), newTestState(&now)
		records := map[string]Change{}
		var history []Change
		revision := int64(0)
		content := func() (items []Change) {
			for _, c := range records {
				items = append(items, c)
			}
			return items
		}
		watch := func(cs *ClusterState) {
			var changes []Change
			for _, c := range history {
				if c.Position.After(cs.Position()) {
					changes = append(changes, c)
				}
			}
			cs.Apply(changes, store.At(0, revision), "store")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := "server/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.SampledFrom([]string{"put", "remove", "watch", "range", "follower watch", "pull"}).Draw(t, "step") {
			case "put":
				revision++
				records[key] = putChange(key, "ready", revision)
				history = append(history, records[key])
			case "remove":
				if _, known := records[key]; known {
					revision++
					delete(records, key)
					history = append(history, Change{Key: key, Position: store.At(0, revision), Removed: true})
				}
			case "watch":
				watch(reader)
			case "range":
				reader.Replace(content(), store.At(0, revision), "store")
			case "follower watch":
				watch(follower)
			case "pull":
				follower.ApplyDelta(reader.ChangesSince(follower.Position()), "peer")
			}
		}
		watch(reader)
		if reader.ChangedPosition().After(follower.Position()) {
			follower.ApplyDelta(reader.ChangesSince(follower.Position()), "peer")
		}
		want, got := reader.ChangesSince(store.At(0, -1)), follower.ChangesSince(store.At(0, -1))
		assert.ElementsMatch(t, want.Changes, got.Changes)
	})
}

func TestPullState(t *testing.T) {
	now := clock.Time(1)
	state := newTestState(&now)
	state.Apply([]Change{putChange("server/a", "ready", 4)}, store.At(0, 4), "store")
	state.Apply([]Change{putChange("server/b", "ready", 5), {Key: "server/a", Position: store.At(0, 6), Removed: true}}, store.At(0, 6), "store")
	peer := &Entry{state: state}
	server := httptest.NewServer(peer.peerHandler())
	defer server.Close()
	e := &Entry{state: newTestState(&now), limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewNopLogger(), Clock: clock.Manual(&now)}}
	e.peers = newTestPeerSets(&now, 1, nil, nil)[0]
	t.Run("nothing is pulled while no peer is ahead", func(t *testing.T) {
		require.NoError(t, e.pullState(t.Context()))
		assert.Zero(t, e.state.Position())
	})
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Control: strings.TrimPrefix(server.URL, "http://"), Revision: 6})
	t.Run("newer state of a peer is applied", func(t *testing.T) {
		require.NoError(t, e.pullState(t.Context()))
		assert.Equal(t, []string{"b"}, usableServers(e.state))
		assert.Equal(t, store.At(0, 6), e.state.Position())
	})
	t.Run("an unreachable peer is an error", func(t *testing.T) {
		e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 2, Control: "127.0.0.1:1", Revision: 9})
		assert.ErrorContains(t, e.pullState(t.Context()), "pull state from peer 127.0.0.1:1")
	})
	t.Run("a request without a revision is rejected", func(t *testing.T) {
		response, err := http.Get(server.URL + statePath)
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadRequest, response.StatusCode)
		assert.NoError(t, response.Body.Close())
	})
}

// TestPeerSetOfManyEntries guards against missing or stale peers, too many messages or large heartbeats in a set of 150
// entries, half of which fail at once.
func TestPeerSetOfManyEntries(t *testing.T) {
	const (
		count       = 150
		maxRate     = 90      // messages per second and entry
		maxSize     = 2 << 10 // bytes of a heartbeat without requests in flight
		convergence = 4 * clock.Second
	)
	now := clock.Time(1)
	all := make(map[string]*PeerSet)
	due := make(map[string]clock.Time)
	var ips []string
	for i := range count {
		s := Settings{Name: "e", IP: fmt.Sprintf("10.0.%d.%d", i/100, i%100+1), InternalPorts: []int{1, 2}, Seeds: []string{"10.0.0.1:9", "10.0.0.2:9"}}
		all[s.IP] = NewPeerSet(s, clock.Manual(&now), log.NewNopLogger(), NewLoadTracker(clock.Manual(&now)),
			func() heartbeat { return heartbeat{IP: s.IP, Front: s.IP, Ready: true} }, func(memberQuery) engine.MemberList { return engine.MemberList{} })
		ips = append(ips, s.IP)
		due[s.IP] = now.Add(clock.Span(i % 100))
	}
	sent := 0
	simulate := func(duration clock.Span) {
		sent = 0
		for end := now.Add(duration); now < end; now = now.Add(10) {
			for _, ip := range ips {
				p := all[ip]
				if p == nil || now < due[ip] {
					continue
				}
				due[ip] = now.Add(p.interval())
				message, targets := p.nextMessage()
				if ip == ips[0] {
					content, err := datagram.Encode(message)
					require.NoError(t, err)
					require.Less(t, len(content), maxSize)
				}
				sent += len(targets)
				for _, to := range targets {
					if all[to] != nil {
						all[to].handleHeartbeat(message)
					}
				}
			}
		}
	}
	listed := func() (least, most int) {
		least = count
		for _, p := range all {
			least, most = min(least, len(p.ReadyAddresses())), max(most, len(p.ReadyAddresses()))
		}
		return least, most
	}
	simulate(10 * clock.Second) // discovery
	least, _ := listed()
	assert.Equal(t, count-1, least, "every entry lists all others")
	simulate(2 * clock.Second)
	assert.Less(t, sent, maxRate*count*2)
	for i, ip := range ips {
		if i%2 == 1 {
			delete(all, ip)
		}
	}
	simulate(convergence)
	least, most := listed()
	assert.Equal(t, count/2-1, least, "live entries are listed")
	assert.Equal(t, count/2-1, most, "failed entries are not listed")
}
