package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/lifecycle"
	"carawaypick/internal/store"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

func TestCaughtUp(t *testing.T) {
	now := clock.Time(1)
	newPeers := func(seeds ...string) *PeerSet {
		p := newTestPeerSets(&now, 1, nil, nil)[0]
		p.seeds = seeds
		return p
	}
	t.Run("not before a configuration is known", func(t *testing.T) {
		assert.False(t, newPeers().CaughtUp(0))
		assert.True(t, newPeers().CaughtUp(5), "an entry that is its only seed")
	})
	t.Run("not before a peer that serves or all seeds told theirs", func(t *testing.T) {
		p := newPeers("10.0.0.8", "10.0.0.9")
		assert.False(t, p.CaughtUp(5))
		p.handleHeartbeat(heartbeat{IP: "10.0.0.8", Number: 1, Version: 5})
		assert.False(t, p.CaughtUp(5))
		p.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Version: 4})
		assert.True(t, p.CaughtUp(5))
		p = newPeers("10.0.0.8", "10.0.0.9")
		p.handleHeartbeat(heartbeat{IP: "10.0.0.7", Number: 1, Ready: true})
		assert.True(t, p.CaughtUp(5), "a peer of an earlier release that serves")
	})
	t.Run("not while a peer knows a newer version", func(t *testing.T) {
		p := newPeers()
		p.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Ready: true, Control: "c", Era: 2, Revision: 70, Version: 6})
		assert.False(t, p.CaughtUp(5))
		control, ok := p.WithNewerConfig(5, store.At(2, 70), "")
		assert.True(t, ok)
		assert.Equal(t, "c", control)
		_, ok = p.WithNewerConfig(5, store.At(2, 69), "")
		assert.False(t, ok, "the change is on its way")
		_, ok = p.WithNewerConfig(6, store.Latest, "")
		assert.False(t, ok)
	})
}

// TestStartingEntryAnswersBeforeItJoined guards against requests that are handled by a configuration which peers know to
// be outdated.
func TestStartingEntryAnswersBeforeItJoined(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	e, url := newTestEntry(t, b)
	e.joined = make(chan struct{})
	assert.False(t, e.ready())
	done := make(chan error, 1)
	go func() {
		_, err := doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, b.count())
	close(e.joined)
	require.NoError(t, <-done)
	assert.Equal(t, 1, b.count())
	assert.True(t, e.ready())
}

// TestStartingEntryForgetsDrains guards against an entry that starts after a restore and sends requests to a backend server
// that its peers know to drain, while the store lost this.
func TestStartingEntryForgetsDrains(t *testing.T) {
	now := clock.Time(1)
	ready, leaving := putChange("server/a", "ready", 60), putChange("server/a", "leaving", 75)
	peer := &Entry{state: newRestoredState(&now, []Change{ready, leaving, putChange("config", "\x05", 50)}, []Change{ready, putChange("config", "\x05", 50)})}
	server := httptest.NewServer(peer.peerHandler())
	defer server.Close()
	e, _ := newTestEntry(t)
	e.state, e.joined = newTestState(&now), make(chan struct{})
	e.state.Replace([]Change{ready.at(2), putChange("config", "\x05", 50).at(2)}, store.At(2, 70), "store")
	assert.Equal(t, []string{"a"}, usableServers(e.state))
	ctx, cancel := context.WithCancel(t.Context())
	done := lifecycle.Start(ctx, e.catchUpLoop)
	e.peers.handleHeartbeat(heartbeat{
		IP: "10.0.0.9", Number: 1, Ready: true, Control: strings.TrimPrefix(server.URL, "http://"), Era: 2, Revision: 70, Version: 5,
	})
	<-e.joined
	assert.Empty(t, usableServers(e.state))
	cancel()
	assert.NoError(t, <-done)
}

// TestNewerConfigOfPeerIsMissed guards against an entry that never gets a version which only a peer knows, because the peer
// had not noticed the restore yet when the entry asked for it.
func TestNewerConfigOfPeerIsMissed(t *testing.T) {
	now := clock.Time(1)
	peer := &Entry{state: newTestState(&now)}
	peer.state.Replace([]Change{putChange("config", "\x09", 84).at(1)}, store.At(1, 85), "store")
	server := httptest.NewServer(peer.peerHandler())
	defer server.Close()
	e, _ := newTestEntry(t)
	e.state = newTestState(&now)
	e.joined = make(chan struct{})
	restored := []Change{putChange("config", "\x08", 60).at(2)}
	e.state.Replace(restored, store.At(2, 70), "store")
	ctx, cancel := context.WithCancel(t.Context())
	done := lifecycle.Start(ctx, e.catchUpLoop)
	e.peers.handleHeartbeat(heartbeat{
		IP: "10.0.0.9", Number: 1, Ready: true, Control: strings.TrimPrefix(server.URL, "http://"), Era: 1, Revision: 85, Version: 9,
	})
	<-e.joined // without the newer version, since the peer has nothing to hand on yet
	assert.EqualValues(t, 8, e.state.ConfigVersion())
	peer.state.Replace(restored, store.At(2, 70), "store")
	assert.Eventually(t, func() bool { return e.state.ConfigVersion() == 9 }, 2*configPullPause.Duration(), 10*time.Millisecond)
	cancel()
	assert.NoError(t, <-done)
}

// TestRejectsThoughPeerHasConfig guards against an entry that joined without a configuration and rejects callers for the lack
// of it, while a peer has one that the entry could pull.
func TestRejectsThoughPeerHasConfig(t *testing.T) {
	now := clock.Time(1)
	peer := newTestState(&now)
	require.True(t, peer.Replace([]Change{putChange("config", "\x05", 5).at(1)}, store.At(1, 7), "store"))
	server := httptest.NewServer((&Entry{state: peer}).peerHandler())
	defer server.Close()
	e, url := newTestEntry(t)
	e.state, e.joined = newTestState(&now), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	done := lifecycle.Start(ctx, e.catchUpLoop)
	<-e.joined // after joinTimeout, as no peer is heard
	got, err := doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "500", got.header.Get("Retry-After"), "as no more than 64 entries are known")
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Control: strings.TrimPrefix(server.URL, "http://"), Era: 1, Revision: 7, Version: 5})
	got, err = doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, got.status, "by the configuration, which has no routes")
	cancel()
	assert.NoError(t, <-done)
}

// TestUnreachablePeerHidesNewerConfig guards against an entry that asks the one peer with the newest configuration again
// and again, though it can't reach it and others have a newer one than its own.
func TestUnreachablePeerHidesNewerConfig(t *testing.T) {
	now := clock.Time(1)
	peer := newTestState(&now)
	require.True(t, peer.Replace([]Change{putChange("config", "\x05", 5).at(1)}, store.At(1, 7), "store"))
	server := httptest.NewServer((&Entry{state: peer}).peerHandler())
	defer server.Close()
	e := &Entry{state: newTestState(&now), limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewNopLogger(), Clock: clock.Manual(&now)}}
	e.peers = newTestPeerSets(&now, 1, nil, nil)[0]
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.8", Number: 1, Control: "127.0.0.1:1", Era: 1, Revision: 9, Version: 6})
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Control: strings.TrimPrefix(server.URL, "http://"), Era: 1, Revision: 7, Version: 5})
	for range 2 {
		_, _ = e.pullNewerConfig(t.Context(), true)
	}
	assert.EqualValues(t, 5, e.state.ConfigVersion())
}

// TestColdStartSpreadsCallers guards against callers that all come back at one time after a cold start of many entries.
func TestColdStartSpreadsCallers(t *testing.T) {
	now := clock.Time(1)
	e, url := newTestEntry(t)
	e.peers.clock = clock.Manual(&now)
	hearPeers(e, 71)
	e.state = newTestState(&now)
	e.state.Replace(nil, store.At(1, 1), "store")
	seen := make(map[string]bool)
	for range 30 {
		got, err := doRequest(t, t.Context(), http.MethodPost, url+"/safe/", "")
		require.NoError(t, err)
		after, err := strconv.Atoi(got.header.Get("Retry-After"))
		require.NoError(t, err)
		assert.InDelta(t, (300+5000/3)/2, after, (5000/3-300)/2+1)
		seen[got.header.Get("Retry-After")] = true
	}
	assert.Greater(t, len(seen), 15)
}
