package gateway

import (
	"bytes"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// TestOddHeartbeatHolds guards against values of a peer of another release that hold for ever: an age below 0 is in the future.
func TestOddHeartbeatHolds(t *testing.T) {
	good := func() heartbeat {
		return heartbeat{Name: "f", Zone: "z", IP: "10.0.0.2", Front: "10.0.0.2:1", Control: "10.0.0.2:2", Born: 5, Revision: 7}
	}
	t.Run("of a sound peer", func(t *testing.T) {
		hb := good()
		hb.Flights, hb.Costs = map[string]int{"a": 3}, map[string]float64{"s": 2.5}
		hb.Rates, hb.Taking = []rateReport{{ID: "a", Rate: 2, Age: 10}}, []recoveredReport{{ID: "a", Age: 0}}
		hb.Heard, hb.Confirmed, hb.Cores = []heardPeer{{IP: 1, Age: 5}}, confirmation{Origin: 3, Number: 1, Age: 40}, 0.4
		hb.Crashes, hb.Completed = []crashReport{{ID: "a/1", Age: 3}}, []completion{{Content: 1, Age: 2}}
		before := hb
		require.NoError(t, hb.limit())
		assert.Equal(t, before, hb)
	})
	for name, change := range map[string]func(*heartbeat){
		"no IP address":          func(hb *heartbeat) { hb.IP = "host" },
		"long name":              func(hb *heartbeat) { hb.Name = string(bytes.Repeat([]byte("n"), 300)) },
		"start below 0":          func(hb *heartbeat) { hb.Born = -1 },
		"revision out of range":  func(hb *heartbeat) { hb.Revision = math.MaxInt64 },
		"era out of range":       func(hb *heartbeat) { hb.Era = math.MinInt64 },
		"version out of range":   func(hb *heartbeat) { hb.Version = math.MaxInt64 },
		"control without a port": func(hb *heartbeat) { hb.Control = "10.0.0.2" },
		"long front address":     func(hb *heartbeat) { hb.Front = string(bytes.Repeat([]byte("n"), 300)) + ":1" },
	} {
		t.Run(name, func(t *testing.T) {
			hb := good()
			change(&hb)
			require.Error(t, hb.limit())
		})
	}
	t.Run("other values are left out", func(t *testing.T) {
		hb := good()
		hb.Flights = map[string]int{"a": -5, "b": math.MaxInt, "c": 2}
		hb.Costs = map[string]float64{"a": math.NaN(), "b": math.Inf(1), "c": -1, "d": 3}
		hb.Rates = []rateReport{{ID: "a", Rate: math.NaN()}, {ID: "b", Rate: -1}, {ID: "c", Rate: 1, Age: -1}, {ID: "d", Rate: 1, Age: 1}}
		hb.Taking = []recoveredReport{{ID: "a", Age: math.MinInt64}, {ID: "b", Age: 1}}
		hb.Known, hb.Heard = []peerAge{{IP: "x"}, {IP: "10.0.0.9", Age: -1}, {IP: "10.0.0.8", Age: 1}}, []heardPeer{{Age: -1}}
		hb.Crashes, hb.Completed, hb.CompletedParts = []crashReport{{Age: -1}}, []completion{{Age: -1}}, []completion{{Age: -1}, {Age: math.MaxInt64}}
		hb.Confirmed, hb.Cores = confirmation{Origin: 1, Number: 1, Age: -1000}, math.NaN()
		require.NoError(t, hb.limit())
		assert.Equal(t, map[string]int{"c": 2}, hb.Flights)
		assert.Equal(t, map[string]float64{"d": 3}, hb.Costs)
		assert.Equal(t, []rateReport{{ID: "d", Rate: 1, Age: 1}}, hb.Rates)
		assert.Equal(t, []recoveredReport{{ID: "b", Age: 1}}, hb.Taking)
		assert.Equal(t, []peerAge{{IP: "10.0.0.8", Age: 1}}, hb.Known)
		assert.Empty(t, hb.Heard)
		assert.Empty(t, hb.Crashes)
		assert.Empty(t, hb.Completed)
		assert.Equal(t, []completion{{Age: maxPeerAge}}, hb.CompletedParts)
		assert.Zero(t, hb.Confirmed)
		assert.Zero(t, hb.Cores)
	})
}

// TestOddDeltaHolds guards against a peer's state that is in force for ever.
func TestOddDeltaHolds(t *testing.T) {
	now := clock.Time(1)
	times := newRetentionTimes(Settings{})
	t.Run("positions that no store has", func(t *testing.T) {
		for _, p := range []store.Position{store.At(-1, 0), store.At(1, -1), store.Latest} {
			require.Error(t, (&Delta{Position: p}).limit(times))
			require.Error(t, (&Delta{Changes: []Change{{Position: p}}}).limit(times))
			require.Error(t, (&Delta{Retained: []RetainedRecord{{Over: p}}}).limit(times))
		}
	})
	t.Run("the grace of missing registrations", func(t *testing.T) {
		for lapse, want := range map[clock.Span]clock.Span{-5: 0, 100: 100, math.MaxInt64: outageGrace} {
			d := Delta{Lapse: lapse}
			require.NoError(t, d.limit(times))
			assert.Equal(t, want, d.Lapse)
		}
	})
	t.Run("a registration that the store does not hold", func(t *testing.T) {
		cs := newTestState(&now)
		d := Delta{
			Position: store.At(1, 5), Whole: true, Changes: []Change{putChange("server/a", "ready", 5).at(1)},
			Retained: []RetainedRecord{{Change: putChange("server/a", "leaving", 7).at(1), Over: store.At(1, 5), Remaining: math.MinInt64}},
		}
		require.NoError(t, d.limit(times))
		cs.ApplyDelta(d, "peer")
		assert.Empty(t, usableServers(cs))
		now = now.Add(times.server)
		cs.RemoveExpired()
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
}

// TestRecordsFillMemory guards against entries that end since other writers filled the store.
func TestRecordsFillMemory(t *testing.T) {
	now := clock.Time(1)
	cs := newTestState(&now)
	cs.decode = func(c Change) (Update, error) {
		if c.Fault != nil {
			return Update{RemovedServer: c.Key}, c.Fault
		}
		return Update{Server: &routing.Server{ID: c.Key, Service: "s", Address: c.Key}}, nil
	}
	cs.maxRecordBytes = 1000
	put := func(key string, bytesOfValue int, revision int64) {
		c := Change{Key: key, Value: bytes.Repeat([]byte("x"), bytesOfValue), Position: store.At(0, revision)}
		cs.Apply([]Change{c}, c.Position, "store")
	}
	put("sound", 300, 1)
	for n := range int64(20) {
		put(fmt.Sprint("other", n), 100, 2+n)
	}
	assert.LessOrEqual(t, cs.recordBytes, cs.maxRecordBytes+20*10)
	assert.Positive(t, cs.Progress().Unusable)
	put("sound", 310, 40)
	assert.Contains(t, usableServers(cs), "sound", "a known one stays in use")
	for n := range int64(20) {
		cs.Apply([]Change{{Key: fmt.Sprint("other", n), Position: store.At(0, 50+n), Removed: true}}, store.At(0, 50+n), "store")
	}
	assert.Zero(t, cs.Progress().Unusable)
	assert.EqualValues(t, 315, cs.recordBytes)
}
