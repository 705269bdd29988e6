package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"carawaypick/internal/engine"
	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// decodeTestChange decodes keys "config", "server/ID" with a value of "ready" or "leaving", and "out/ZONE".
func decodeTestChange(c Change) (Update, error) {
	switch {
	case c.Key == "config" && c.Removed:
		return Update{}, errors.New("removed")
	case c.Key == "config":
		return Update{Config: &routing.Config{Version: int64(c.Value[0])}}, nil
	case strings.HasPrefix(c.Key, "server/"):
		id := strings.TrimPrefix(c.Key, "server/")
		if c.Removed || string(c.Value) == "bad" {
			return Update{RemovedServer: id}, nil
		}
		return Update{Server: &routing.Server{ID: id, Service: "s", Zone: "z", Address: id, Draining: string(c.Value) == "leaving"}}, nil
	case strings.HasPrefix(c.Key, "out/"):
		return Update{Zone: strings.TrimPrefix(c.Key, "out/"), EvacuationEnded: c.Removed}, nil
	}
	return Update{}, errors.New("unknown")
}

func newTestState(now *clock.Time) *ClusterState {
	return NewClusterState(Settings{}, decodeTestChange, clock.Manual(now), log.NewNopLogger(), nil)
}

func putChange(key, value string, revision int64) Change {
	return Change{Key: key, Value: []byte(value), Position: store.At(0, revision)}
}

func usableServers(cs *ClusterState) (ids []string) {
	for _, s := range cs.View().Services["s"] {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestClusterState(t *testing.T) {
	now := clock.Time(1)
	t.Run("a configuration is not replaced by an older version", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("config", "\x05", 5)}, store.At(0, 5), "store")
		cs.Apply([]Change{putChange("config", "\x04", 6)}, store.At(0, 6), "store")
		cs.Replace([]Change{putChange("config", "\x03", 4)}, store.At(0, 4), "peer")
		assert.Equal(t, int64(5), cs.View().Config.Version)
	})
	t.Run("older state of a peer is ignored", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "leaving", 9)}, store.At(0, 9), "store")
		cs.Replace([]Change{putChange("server/a", "ready", 3)}, store.At(0, 8), "peer")
		cs.Apply([]Change{putChange("server/a", "ready", 3)}, store.At(0, 9), "store")
		assert.Empty(t, usableServers(cs))
	})
	t.Run("a draining or undecodable registration is not used", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "ready", 1), putChange("server/b", "ready", 2), putChange("server/c", "ready", 3)}, store.At(0, 3), "store")
		cs.Apply([]Change{putChange("server/a", "leaving", 4), putChange("server/b", "bad", 5)}, store.At(0, 5), "store")
		assert.Equal(t, []string{"c"}, usableServers(cs))
	})
	t.Run("an evacuated zone is not used until the evacuation ends", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "ready", 1), putChange("out/z", "", 2)}, store.At(0, 2), "store")
		assert.Empty(t, usableServers(cs))
		cs.Apply([]Change{{Key: "out/z", Position: store.At(0, 3), Removed: true}}, store.At(0, 3), "store")
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("a removed registration is used during a grace period, which is longer after a store outage", func(t *testing.T) {
		for _, outage := range []bool{false, true} {
			now := clock.Time(1)
			cs := newTestState(&now)
			cs.Apply([]Change{putChange("server/a", "ready", 1)}, store.At(0, 1), "store")
			grace := removalGrace
			cs.Confirm(store.At(0, 1), now)
			if outage {
				now = now.Add(outageThreshold + 1)
				grace = outageGrace
			}
			cs.EndOutage()
			cs.Replace(nil, store.At(0, 2), "store")
			now = now.Add(grace - 1)
			cs.RemoveExpired()
			assert.Equal(t, []string{"a"}, usableServers(cs))
			now = now.Add(1)
			cs.RemoveExpired()
			assert.Empty(t, usableServers(cs))
		}
	})
	t.Run("a registration that returns within its grace period no longer expires", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "ready", 1)}, store.At(0, 1), "store")
		cs.Apply([]Change{{Key: "server/a", Position: store.At(0, 2), Removed: true}}, store.At(0, 2), "store")
		cs.Apply([]Change{putChange("server/a", "ready", 3)}, store.At(0, 3), "store")
		assert.Zero(t, cs.View().Servers["a"].ExpiresAt)
	})
	t.Run("a replaced registration is used again only after it changes", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "ready", 1)}, store.At(0, 1), "store")
		cs.RecordMisdirected(cs.View().Servers["a"], "b", now+1)
		assert.Empty(t, usableServers(cs))
		now += 2
		cs.Apply([]Change{putChange("server/a", "ready", 2)}, store.At(0, 2), "store")
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("or once the answer that told of it is old", func(t *testing.T) {
		cs := newTestState(&now)
		cs.Apply([]Change{putChange("server/a", "ready", 1)}, store.At(0, 1), "store")
		cs.RecordMisdirected(cs.View().Servers["a"], "b", now+1)
		now = now.Add(cs.retentionTimes.server)
		cs.RemoveExpired()
		assert.Empty(t, usableServers(cs))
		now++
		cs.RemoveExpired()
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
}

// TestStoreReader guards against a reader that stops or misses records when store calls fail or the store has compacted
// its history.
func TestStoreReader(t *testing.T) {
	now := clock.Time(1)
	cs := newTestState(&now)
	answers := make(chan error, 16)
	ranges, watches := 0, 0
	ctx, cancel := context.WithCancel(t.Context())
	next := func() error {
		select {
		case err := <-answers:
			return err
		default:
			cancel()
			return ctx.Err()
		}
	}
	pulls := 0
	r := &StoreReader{
		State: cs, Clock: clock.Manual(&now), Logger: log.NewNopLogger(),
		PeerSync: testPeerSync(true, func(context.Context) error { pulls++; return nil }),
		Protocol: Protocol{
			Range: func(context.Context, string) (StoreAnswer, error) {
				ranges++
				return StoreAnswer{Changes: []Change{putChange("server/a", "ready", 1)}, Position: store.At(0, 3)}, next()
			},
			Watch: func(_ context.Context, _ string, after store.Position, _ clock.Span) (StoreAnswer, error) {
				watches++
				_, revision := after.Numbers()
				return StoreAnswer{Changes: []Change{putChange("server/b", "ready", revision+1)}, Position: store.At(0, revision+1)}, next()
			},
		},
	}
	for _, err := range []error{errors.New("down"), nil, nil, errors.New("slow"), nil, ErrCompacted, nil, nil} {
		answers <- err
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	select {
	case err := <-done:
		assert.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader does not stop")
	}
	assert.Equal(t, 3, ranges, "at the start, after the first one failed, and after the history was compacted")
	assert.Equal(t, 2, pulls)
	assert.Equal(t, []string{"a", "b"}, usableServers(cs))
}

func TestPeerSet(t *testing.T) {
	now := clock.Time(1)
	s := Settings{Name: "e", IP: "10.0.0.1", InternalPorts: []int{1, 2}, Seeds: []string{"10.0.0.1:9", "10.0.0.2:9", "bad"}}
	loads := NewLoadTracker(clock.Manual(&now))
	p := NewPeerSet(s, clock.Manual(&now), log.NewNopLogger(), loads, func() heartbeat { return heartbeat{IP: s.IP} }, func(memberQuery) engine.MemberList { return engine.MemberList{} })
	server := &routing.Server{ID: "a"}
	receive := func(number uint64, born int64, flights int) {
		p.handleHeartbeat(heartbeat{Name: "f", IP: "10.0.0.2", Control: "c", Born: born, Number: number, Ready: true, Revision: 7, Flights: map[string]int{"a": flights}, Known: []peerAge{{IP: "10.0.0.3"}, {IP: "10.0.0.1"}}})
	}
	receive(2, 1, 5)
	t.Run("requests in flight of peers add to the load", func(t *testing.T) {
		assert.Equal(t, 5, loads.TotalInFlight([]*routing.Server{server}))
	})
	t.Run("a reordered message is dropped, one of a new incarnation is not", func(t *testing.T) {
		receive(1, 1, 9)
		assert.Equal(t, 5, loads.TotalInFlight([]*routing.Server{server}))
		receive(1, 2, 3)
		assert.Equal(t, 3, loads.TotalInFlight([]*routing.Server{server}))
	})
	t.Run("peers of peers are discovered", func(t *testing.T) {
		assert.Contains(t, p.targets, "10.0.0.3")
		assert.NotContains(t, p.targets, "10.0.0.1")
	})
	t.Run("the peer with a higher revision is returned", func(t *testing.T) {
		control, ok := p.Ahead(store.At(0, 6), "")
		assert.True(t, ok)
		assert.Equal(t, "c", control)
		_, ok = p.Ahead(store.At(0, 7), "")
		assert.False(t, ok)
	})
	t.Run("the part of a limit does not grow when peers time out", func(t *testing.T) {
		known := p.Entries().Known
		now = now.Add(peerTimeout + 1)
		p.expire()
		p.updateEntries()
		assert.Equal(t, known, p.Entries().Known)
		assert.Zero(t, loads.TotalInFlight([]*routing.Server{server}), "a timed-out peer has nothing in flight")
	})
}
