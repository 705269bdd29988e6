package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

func TestCheckAge(t *testing.T) {
	for rank, want := range map[int]clock.Span{0: 1100, 2: 1100, 3: 1300, 5: 1300, 6: 1500, 11: 1500, 12: 1700, 299: 1700} {
		assert.Equal(t, want, Settings{}.checkAge(rank), "rank %d", rank)
	}
	assert.Equal(t, clock.Span(1650), Settings{ConfigTime: 3000}.checkAge(0))
}

// TestStaleStateLooksConfirmed guards against an entry that takes its state for newer than it is, by what an entry tells
// that has a change which this one lacks, or by one confirmation that entries tell each other again and again.
func TestStaleStateLooksConfirmed(t *testing.T) {
	now := clock.Time(1000)
	cs := newTestState(&now)
	require.True(t, cs.Replace([]Change{putChange("server/a", "ready", 5).at(1)}, store.At(1, 7), "store"))
	cs.Confirm(store.At(1, 7), now)
	now = now.Add(900)
	for _, v := range []struct {
		name    string
		changed store.Position
		c       confirmation
		age     clock.Span
	}{
		{"it has a change that this entry lacks", store.At(1, 9), confirmation{Origin: 8, Number: 2}, 900},
		{"it is of another era", store.At(2, 7), confirmation{Origin: 8, Number: 2}, 900},
		{"it is of an earlier release", store.At(1, 7), confirmation{}, 900},
		{"it is older", store.At(1, 7), confirmation{Origin: 9, Number: 1, Age: 1000}, 900},
		{"it has the same changes", store.At(1, 7), confirmation{Origin: 8, Number: 2, Age: 30}, 30},
		{"the same one by a detour", store.At(1, 7), confirmation{Origin: 8, Number: 2, Age: 29}, 30},
		{"one before it by a detour", store.At(1, 7), confirmation{Origin: 8, Number: 1, Age: 20}, 30},
		{"the next one", store.At(1, 7), confirmation{Origin: 8, Number: 3, Age: 10}, 10},
		{"its own one by a detour", store.At(1, 7), confirmation{Origin: cs.origin, Number: 1}, 10},
	} {
		t.Run(v.name, func(t *testing.T) {
			cs.AdoptConfirmation(v.changed, v.c)
			assert.Equal(t, v.age, cs.Age())
		})
	}
	t.Run("an answer of another era confirms nothing", func(t *testing.T) {
		cs.Confirm(store.At(2, 7), now)
		assert.Equal(t, clock.Span(10), cs.Age())
	})
}

// TestConfirmationsRunInCircles guards against entries whose state looks new for ever though none of them reaches the
// store, since each message between them takes some time.
func TestConfirmationsRunInCircles(t *testing.T) {
	const count, hop = 9, clock.Millisecond
	now := clock.Time(1000)
	var states []*ClusterState
	for range count {
		cs := newTestState(&now)
		require.True(t, cs.Replace(nil, store.At(1, 7), "store"))
		states = append(states, cs)
	}
	states[0].Confirm(store.At(1, 7), now)
	start := now
	random := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		from, to := random.IntN(count), random.IntN(count)
		changed, c := states[from].Confirmation()
		now = now.Add(hop)
		states[to].AdoptConfirmation(changed, c)
	}
	for i, cs := range states {
		assert.GreaterOrEqual(t, cs.Age(), now.Sub(start)-count*hop, "entry %d", i)
	}
}

// TestSilentWatchHidesChanges guards against a reader that waits for a watch that will never be answered, although the
// store answers other calls.
func TestSilentWatchHidesChanges(t *testing.T) {
	c := clock.New()
	cs := NewClusterState(Settings{}, decodeTestChange, c, log.NewNopLogger(), nil)
	r := &StoreReader{
		State: cs, Clock: c, Logger: log.NewNopLogger(), PeerSync: testPeerSync(true, func(context.Context) error { return nil }),
		Protocol: Protocol{
			Range: func(context.Context, string) (StoreAnswer, error) {
				return StoreAnswer{Position: store.At(1, 1)}, nil
			},
			Watch: func(ctx context.Context, _ string, after store.Position, wait clock.Span) (StoreAnswer, error) {
				if wait > checkWait {
					<-ctx.Done()
					return StoreAnswer{}, ctx.Err()
				}
				if after == store.At(1, 2) {
					return StoreAnswer{Position: after}, nil
				}
				return StoreAnswer{Changes: []Change{putChange("server/a", "ready", 2).at(1)}, Position: store.At(1, 2)}, nil
			},
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	for _, loop := range []func(context.Context) error{r.Run, r.CheckLoop} {
		go func() { ended <- loop(ctx) }()
	}
	assert.Eventually(t, func() bool { return len(usableServers(cs)) == 1 }, defaultConfigTime.Duration(), 10*time.Millisecond)
	cancel()
	for range cap(ended) {
		assert.NoError(t, <-ended)
	}
}

func TestAheadAvoidsUnreachablePeer(t *testing.T) {
	now := clock.Time(1)
	p := newTestPeerSets(&now, 1, nil, nil)[0]
	p.handleHeartbeat(heartbeat{IP: "10.0.0.8", Number: 1, Control: "near", Revision: 7})
	p.handleHeartbeat(heartbeat{IP: "10.0.0.9", Number: 1, Control: "far", Revision: 9})
	ahead := func(revision int64, avoid string) string {
		control, _ := p.Ahead(store.At(0, revision), avoid)
		return control
	}
	assert.Equal(t, "far", ahead(5, ""), "the one with the latest position")
	assert.Equal(t, "near", ahead(5, "far"))
	assert.Equal(t, "far", ahead(8, "far"), "no other is ahead")
	assert.Empty(t, ahead(9, ""))
}

// TestOutageEndsUnnoticed guards against registrations that count as ended because they lapsed while nobody could read
// the store, and only a peer noticed that it is back.
func TestOutageEndsUnnoticed(t *testing.T) {
	now := clock.Time(1)
	cs := newTestState(&now)
	cs.Apply([]Change{putChange("server/a", "ready", 1)}, store.At(0, 1), "store")
	cs.Confirm(store.At(0, 1), now)
	now = now.Add(outageThreshold + clock.Second)
	cs.AdoptConfirmation(store.At(0, 1), confirmation{Origin: 8, Number: 1})
	cs.Apply([]Change{{Key: "server/a", Position: store.At(0, 2), Removed: true}}, store.At(0, 2), "store")
	now = now.Add(outageGrace - 1)
	cs.RemoveExpired()
	assert.Equal(t, []string{"a"}, usableServers(cs))
}

// TestFailedCheckWaits guards against an entry without the store that calls it without a pause.
func TestFailedCheckWaits(t *testing.T) {
	now := clock.Time(1)
	cs := newTestState(&now)
	r := &StoreReader{
		State: cs, Clock: clock.Manual(&now), Logger: log.NewNopLogger(), PeerSync: testPeerSync(true, nil),
		Protocol: Protocol{Range: func(context.Context, string) (StoreAnswer, error) {
			return StoreAnswer{}, errors.New("down")
		}},
	}
	now = now.Add(defaultConfigTime)
	require.Error(t, r.check(t.Context()))
	assert.Equal(t, minCheckPause, r.untilCheck(minCheckPause))
	assert.Equal(t, maxCheckPause, r.untilCheck(maxCheckPause))
}
