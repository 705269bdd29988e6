package gateway

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/balance"
	"carawaypick/internal/datagram"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

func newTestSuspects(now *clock.Time) *suspectSet {
	return newSuspectSet(clock.Manual(now))
}

func isQuarantined(s *suspectSet, content uint64) bool {
	_, crashes := s.quarantined(content)
	return len(crashes) > 0
}

// TestSuspectsAgree guards against entries that judge a content differently although they have exchanged all evidence,
// whatever messages were lost before.
func TestSuspectsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Time(1000)
		all := []*suspectSet{newTestSuspects(&now), newTestSuspects(&now), newTestSuspects(&now)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(all).Draw(t, "entry")
			content := rapid.Uint64Range(1, 4).Draw(t, "content")
			switch rapid.SampledFrom([]string{"crash", "complete", "heartbeat", "time"}).Draw(t, "step") {
			case "crash":
				parts := []balance.Part{{ID: rapid.Uint64Range(1, 4).Draw(t, "part"), Depth: rapid.IntRange(0, 2).Draw(t, "depth"), Unlikely: rapid.Bool().Draw(t, "unlikely part")}}
				s.addCrash(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"), content, rapid.Bool().Draw(t, "unlikely"), parts)
			case "complete":
				s.addCompleted(content)
				s.addCompletedParts([]uint64{rapid.Uint64Range(1, 4).Draw(t, "completed part")})
			case "heartbeat":
				news := s.nextNews()
				if rapid.Bool().Draw(t, "arrives") {
					rapid.SampledFrom(all).Draw(t, "receiver").merge(news)
				}
			case "time":
				now = now.Add(clock.Span(rapid.IntRange(1, 2000).Draw(t, "ms")))
			}
		}
		for range all { // pulls
			for _, s := range all {
				for _, peer := range all {
					if peer.digest() != s.digest() {
						s.merge(peer.all())
					}
				}
			}
		}
		for _, s := range all[1:] {
			require.Equal(t, all[0].digest(), s.digest())
			for content := range uint64(5) {
				require.Equal(t, isQuarantined(all[0], content), isQuarantined(s, content))
				_, first := all[0].quarantinedPart([]uint64{content})
				_, crashes := s.quarantinedPart([]uint64{content})
				require.Equal(t, len(first) > 0, len(crashes) > 0)
			}
		}
	})
}

func TestSuspectEvidence(t *testing.T) {
	now := clock.Time(1000)
	t.Run("a content that completed at another entry stays in use when many backend servers fail at once", func(t *testing.T) {
		saw, served := newTestSuspects(&now), newTestSuspects(&now)
		served.addCompleted(7)
		for _, id := range []string{"a", "b", "c"} {
			saw.addCrash(id, 7, false, nil)
		}
		require.True(t, isQuarantined(saw, 7))
		served.merge(saw.nextNews())
		saw.merge(served.nextNews())
		assert.False(t, isQuarantined(saw, 7))
		assert.False(t, isQuarantined(served, 7))
	})
	t.Run("a crash that several entries saw counts once", func(t *testing.T) {
		a, b := newTestSuspects(&now), newTestSuspects(&now)
		a.addCrash("a", 7, false, nil)
		b.addCrash("a", 7, false, nil)
		a.merge(b.nextNews())
		assert.False(t, isQuarantined(a, 7))
	})
	t.Run("a report is sent with a few heartbeats only", func(t *testing.T) {
		s := newTestSuspects(&now)
		s.addCrash("a", 7, false, nil)
		for range ownReportRounds {
			assert.Len(t, s.nextNews().Crashes, 1)
		}
		assert.Empty(t, s.nextNews().Crashes)
	})
	t.Run("a heartbeat with as much evidence as possible fits into a datagram", func(t *testing.T) {
		s := newTestSuspects(&now)
		for i := range 300 {
			for content := range uint64(2000) {
				s.tracker.AddCrash(balance.Crash{ID: fmt.Sprintf("server-%032d", i), Contents: []uint64{1<<63 + content}, Unlikely: []uint64{1<<63 + content}, At: now})
			}
			s.announced[fmt.Sprintf("server-%032d", i)] = 1
		}
		for content := range uint64(2000) {
			s.tracker.RecordCompleted(now, 1<<63+content)
		}
		news := s.nextNews()
		require.NotEmpty(t, news.Crashes)
		_, err := datagram.Encode(heartbeat{Crashes: news.Crashes, Completed: news.Completed})
		assert.NoError(t, err)
	})
}

// TestEvidenceReachesNewEntry guards against an entry that started after the crashes and sends the request on.
func TestEvidenceReachesNewEntry(t *testing.T) {
	now := clock.Time(1000)
	peer := &Entry{suspects: newTestSuspects(&now)}
	peer.suspects.addCrash("a", 7, false, nil)
	peer.suspects.addCrash("b", 7, false, nil)
	server := httptest.NewServer(peer.peerHandler())
	defer server.Close()
	e := &Entry{state: newTestState(&now), suspects: newTestSuspects(&now), limitedLogger: &telemetry.RateLimitedLogger{Logger: log.NewNopLogger(), Clock: clock.Manual(&now)}}
	e.peers = newTestPeerSets(&now, 1, nil, nil)[0]
	e.peers.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Control: strings.TrimPrefix(server.URL, "http://"), Evidence: peer.suspects.digest()})
	control, other := e.peers.WithOtherEvidence(e.suspects.digest(), "")
	require.NotZero(t, other)
	t.Run("another peer is asked if the first does not answer", func(t *testing.T) {
		for _, ip := range []string{"10.0.0.1", "10.0.0.99"} {
			e.peers.handleHeartbeat(heartbeat{IP: ip, Number: 1, Control: ip, Evidence: 1})
		}
		first, _ := e.peers.WithOtherEvidence(e.suspects.digest(), "")
		assert.Equal(t, "10.0.0.1", first)
		second, _ := e.peers.WithOtherEvidence(e.suspects.digest(), first)
		assert.Equal(t, control, second)
		for _, ip := range []string{"10.0.0.1", "10.0.0.99"} {
			e.peers.handleHeartbeat(heartbeat{IP: ip, Number: 2, Control: ip})
		}
		only, _ := e.peers.WithOtherEvidence(e.suspects.digest(), control)
		assert.Equal(t, control, only, "the only one is asked again")
	})
	require.NoError(t, e.pullEvidence(t.Context(), control))
	assert.True(t, isQuarantined(e.suspects, 7))
	_, other = e.peers.WithOtherEvidence(e.suspects.digest(), "")
	assert.Zero(t, other)
}

// TestEntriesThatDisagreePullRarely guards against entries that pull each other's evidence all the time because one of
// them can't hold all of it.
func TestEntriesThatDisagreePullRarely(t *testing.T) {
	const checks = 1000
	var p pullPacer
	pulls := 0
	check := func(own, other uint64) bool {
		due := p.due(own, other)
		if due {
			pulls++
			p.pulled(false)
		}
		return due
	}
	for range checks {
		check(1, 2)
	}
	assert.Less(t, pulls, checks/maxPullPause+10)
	t.Run("news are pulled at the second check", func(t *testing.T) {
		assert.False(t, check(1, 3))
		assert.True(t, check(1, 3))
	})
	t.Run("nothing is pulled from peers that agree", func(t *testing.T) {
		assert.False(t, check(1, 0))
		assert.False(t, check(1, 0))
	})
}
