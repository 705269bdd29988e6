package memory

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

const kilobyte = 1 << 10

// rig is a budget with one share on a clock that the test advances. Evicted holders close at once.
type rig struct {
	t     require.TestingT
	now   clock.Time
	share *Share
	gone  map[*Holder]bool
	why   []string
}

func newRig(t require.TestingT, limits Limits) *rig {
	r := &rig{t: t, now: 1, gone: make(map[*Holder]bool)}
	budget := &Budget{Clock: clock.Manual(&r.now), OnPressure: func(_, reason string) { r.why = append(r.why, reason) }}
	r.share = budget.Share("front", limits)
	return r
}

// open opens a connection of 10 KiB.
func (r *rig) open() (h *Holder, err error) {
	h, err = r.share.Open(10*kilobyte, func() {
		r.gone[h] = true
		h.Close()
	})
	return h, err
}

// request opens a connection with a request of the team, of which so many bytes were taken and received.
func (r *rig) request(team string, taken int64, received int) (h *Holder, err error) {
	h, err = r.open()
	require.NoError(r.t, err)
	h.Received(1)
	h.SetTeam(team)
	err = h.Take(taken)
	h.Received(received)
	return h, err
}

// taken is the same for a request that finds room.
func (r *rig) taken(team string, taken int64, received int) *Holder {
	h, err := r.request(team, taken, received)
	require.NoError(r.t, err)
	return h
}

func TestRequestsThatStopGiveWay(t *testing.T) {
	t.Run("the one that holds most and receives least goes first", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		small, large := r.taken("a", 100*kilobyte, 1), r.taken("b", 600*kilobyte, 1)
		r.now = r.now.Add(2 * clock.Second)
		r.taken("c", 400*kilobyte, 1)
		assert.True(t, r.gone[large])
		assert.False(t, r.gone[small])
		assert.Equal(t, []string{ReasonSlow}, r.why)
	})
	t.Run("requests that come in stay, and a new one finds no room", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		var all []*Holder
		for range 2 {
			all = append(all, r.taken("a", 400*kilobyte, 1))
		}
		r.now = r.now.Add(clock.Second)
		for _, h := range all {
			h.Received(300 * kilobyte)
		}
		_, err := r.request("a", 400*kilobyte, 1)
		assert.ErrorIs(t, err, ErrFull)
		assert.Empty(t, r.gone)
		assert.Equal(t, []string{ReasonFull}, r.why)
	})
	t.Run("a request that has just begun is not slow yet", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		r.taken("a", 800*kilobyte, 1)
		r.now = r.now.Add(startTime - 1)
		_, err := r.request("a", 400*kilobyte, 1)
		assert.ErrorIs(t, err, ErrFull)
	})
	t.Run("one that sends a byte now and then is slow", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		slow := r.taken("a", 800*kilobyte, 1)
		for range 100 {
			r.now = r.now.Add(20)
			slow.Received(1)
		}
		r.taken("b", 400*kilobyte, 1)
		assert.True(t, r.gone[slow])
	})
	t.Run("whole requests stay", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		h := r.taken("a", 800*kilobyte, 800*kilobyte)
		require.True(t, h.Pin())
		r.now = r.now.Add(clock.Minute)
		_, err := r.request("b", 400*kilobyte, 1)
		assert.ErrorIs(t, err, ErrFull)
		assert.False(t, r.gone[h])
	})
	t.Run("a slow one in calm stays", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte})
		h := r.taken("a", 800*kilobyte, 1)
		r.now = r.now.Add(clock.Minute)
		assert.False(t, h.Evicted())
		assert.True(t, h.Pin())
	})
}

func TestTeamThatHoldsMostGivesWay(t *testing.T) {
	r := newRig(t, Limits{Bytes: 1000 * kilobyte})
	var crowd []*Holder
	for range 6 {
		crowd = append(crowd, r.taken("crowd", 140*kilobyte, 1))
	}
	r.now = r.now.Add(clock.Second)
	for _, h := range crowd {
		h.Received(100 * kilobyte)
	}
	t.Run("for another team", func(t *testing.T) {
		r.taken("other", 200*kilobyte, 1)
		assert.NotEmpty(t, r.gone)
		assert.Contains(t, r.why, ReasonTeam)
	})
	t.Run("but not for its own requests", func(t *testing.T) {
		before := len(r.gone)
		_, err := r.request("crowd", 300*kilobyte, 1)
		assert.ErrorIs(t, err, ErrFull)
		assert.Len(t, r.gone, before)
	})
}

func TestConnections(t *testing.T) {
	t.Run("an idle one is evicted for a new one", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte, Holders: 2})
		first, err := r.open()
		require.NoError(t, err)
		r.now = r.now.Add(clock.Second)
		second, err := r.open()
		require.NoError(t, err)
		r.now = r.now.Add(clock.Second)
		_, err = r.open()
		require.NoError(t, err)
		assert.True(t, r.gone[first])
		assert.False(t, r.gone[second])
		assert.Equal(t, 2, r.share.Usage().Holders)
	})
	t.Run("a new one finds no room beside whole requests", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte, Holders: 1})
		h := r.taken("a", kilobyte, 1)
		require.True(t, h.Pin())
		r.now = r.now.Add(clock.Minute)
		_, err := r.open()
		assert.ErrorIs(t, err, ErrFull)
	})
	t.Run("a large request leaves room for small ones", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 1000 * kilobyte, Bulk: 500 * kilobyte})
		_, err := r.request("a", 600*kilobyte, 1)
		assert.ErrorIs(t, err, ErrFull)
		for range 10 {
			r.taken("a", 60*kilobyte, 1)
		}
	})
	t.Run("one share leaves another as it is", func(t *testing.T) {
		r := newRig(t, Limits{Bytes: 100 * kilobyte})
		other := r.share.budget.Share("ready", Limits{Bytes: 20 * kilobyte})
		r.taken("a", 90*kilobyte, 1)
		assert.NoError(t, other.Take(20*kilobyte))
		assert.ErrorIs(t, other.Take(1), ErrFull)
	})
}

// TestSumIsBounded guards against memory that is counted twice, not at all, or beyond the limit, whatever comes in whatever order.
func TestSumIsBounded(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		limits := Limits{Bytes: 500 * kilobyte, Bulk: 300 * kilobyte, Holders: 8}
		r := newRig(t, limits)
		var open []*Holder
		kept := make(map[*Holder]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.now = r.now.Add(clock.Span(rapid.IntRange(0, 400).Draw(t, "wait")))
			i := 0
			if len(open) > 0 {
				i = rapid.IntRange(0, len(open)-1).Draw(t, "holder")
			}
			switch action := rapid.IntRange(0, 6).Draw(t, "action"); {
			case action == 0 || len(open) == 0:
				if h, err := r.open(); err == nil {
					open = append(open, h)
				}
			case r.gone[open[i]]:
			case action == 1:
				open[i].Close()
				open[i].Close()
				r.gone[open[i]], kept[open[i]] = true, false
			case action == 2:
				open[i].EndRequest()
				kept[open[i]] = false
			case action == 3:
				kept[open[i]] = open[i].Pin()
			default:
				open[i].Received(rapid.IntRange(1, 100*kilobyte).Draw(t, "received"))
				open[i].SetTeam(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
				_ = open[i].Take(int64(rapid.IntRange(0, 200*kilobyte).Draw(t, "taken"))) // ErrFull is one of the outcomes
			}
			sum, bulk := int64(0), int64(0)
			for h := range r.share.holders {
				sum += h.held
				bulk += h.bulk
			}
			assert.Equal(t, sum, r.share.used)
			assert.Equal(t, bulk, r.share.bulk)
			assert.LessOrEqual(t, r.share.used, limits.Bytes)
			assert.LessOrEqual(t, r.share.bulk, limits.Bulk)
			assert.LessOrEqual(t, len(r.share.holders), limits.Holders)
			for h, whole := range kept {
				assert.False(t, whole && h.evicted, "a pinned holder was evicted")
			}
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	r := newRig(b, Limits{Bytes: 1 << 30})
	h, err := r.open()
	require.NoError(b, err)
	for b.Loop() {
		h.Received(500)
		_ = h.Take(1000)
		h.SetTeam("a")
		h.Pin()
		h.EndRequest()
	}
}
