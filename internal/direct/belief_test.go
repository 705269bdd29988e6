package direct

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
	"carawaypick/pkg/clock"
)

// decodeTest reads keys "config", "server/ID" with a value of "ready" or "leaving", and "out/ZONE".
func decodeTest(c Change) (News, error) {
	switch {
	case c.Key == "config":
		return News{Table: &routing.Table{Version: int64(c.Value[0])}}, nil
	case strings.HasPrefix(c.Key, "server/"):
		id := strings.TrimPrefix(c.Key, "server/")
		if c.Removed || string(c.Value) == "bad" {
			return News{Gone: id}, nil
		}
		return News{Server: &routing.Server{ID: id, Service: "s", Zone: "z", Address: id, Leaving: string(c.Value) == "leaving"}}, nil
	case strings.HasPrefix(c.Key, "out/"):
		return News{Zone: strings.TrimPrefix(c.Key, "out/"), Ends: c.Removed}, nil
	}
	return News{}, errors.New("unknown")
}

func newTestBelief(now *clock.Time) *Belief {
	return NewBelief(decodeTest, clock.Fixed(now), log.NewNopLogger(), nil)
}

func put(key, value string, revision int64) Change {
	return Change{Key: key, Value: []byte(value), Revision: revision}
}

func usable(b *Belief) (ids []string) {
	for _, s := range b.View().Services["s"] {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestBelief(t *testing.T) {
	now := clock.Time(1)
	t.Run("a configuration never goes back", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("config", "\x05", 5)}, 5, "store")
		b.Apply([]Change{put("config", "\x04", 6)}, 6, "store")
		b.Replace([]Change{put("config", "\x03", 4)}, 4, "peer")
		assert.Equal(t, int64(5), b.View().Table.Version)
	})
	t.Run("an older answer of a peer changes nothing", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("server/a", "leaving", 9)}, 9, "store")
		b.Replace([]Change{put("server/a", "ready", 3)}, 8, "peer")
		b.Apply([]Change{put("server/a", "ready", 3)}, 9, "store")
		assert.Empty(t, usable(b))
	})
	t.Run("a leaving or unreadable entry is not used from then on", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("server/a", "ready", 1), put("server/b", "ready", 2), put("server/c", "ready", 3)}, 3, "store")
		b.Apply([]Change{put("server/a", "leaving", 4), put("server/b", "bad", 5)}, 5, "store")
		assert.Equal(t, []string{"c"}, usable(b))
	})
	t.Run("an evacuated zone is not used until it is taken back", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("server/a", "ready", 1), put("out/z", "", 2)}, 2, "store")
		assert.Empty(t, usable(b))
		b.Apply([]Change{{Key: "out/z", Revision: 3, Removed: true}}, 3, "store")
		assert.Equal(t, []string{"a"}, usable(b))
	})
	t.Run("a vanished entry is used for a moment, and longer after an outage of the store", func(t *testing.T) {
		for _, outage := range []bool{false, true} {
			now := clock.Time(1)
			b := newTestBelief(&now)
			b.Apply([]Change{put("server/a", "ready", 1)}, 1, "store")
			grace := goneGrace
			if outage {
				b.Back()
				grace = lapseGrace
			}
			b.Replace(nil, 2, "store")
			now = now.Add(grace - 1)
			b.Sweep()
			assert.Equal(t, []string{"a"}, usable(b))
			now = now.Add(1)
			b.Sweep()
			assert.Empty(t, usable(b))
		}
	})
	t.Run("an entry that comes back within its grace is whole again", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("server/a", "ready", 1)}, 1, "store")
		b.Apply([]Change{{Key: "server/a", Revision: 2, Removed: true}}, 2, "store")
		b.Apply([]Change{put("server/a", "ready", 3)}, 3, "store")
		assert.Zero(t, b.View().Servers["a"].GoneAt)
	})
	t.Run("a disowned entry comes back only when it changes", func(t *testing.T) {
		b := newTestBelief(&now)
		b.Apply([]Change{put("server/a", "ready", 1)}, 1, "store")
		b.Disown(b.View().Servers["a"], "b")
		assert.Empty(t, usable(b))
		b.Apply([]Change{put("server/a", "ready", 2)}, 2, "store")
		assert.Equal(t, []string{"a"}, usable(b))
	})
}

// TestReader drives a reader by a store that fails, forgets and recovers.
func TestReader(t *testing.T) {
	now := clock.Time(1)
	b := newTestBelief(&now)
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
	lost := 0
	r := &Reader{
		Belief: b, Clock: clock.Fixed(&now), Logger: log.NewNopLogger(),
		Following: Following{
			Reads:  func(bool) bool { return true },
			Follow: func(context.Context) error { lost++; return nil },
			Tell:   func() {},
		},
		Wire: Wire{
			Range: func(context.Context, string) ([]Change, int64, error) {
				ranges++
				return []Change{put("server/a", "ready", 1)}, 3, next()
			},
			Watch: func(_ context.Context, _ string, after int64, _ clock.Span) ([]Change, int64, error) {
				watches++
				return []Change{put("server/b", "ready", after+1)}, after + 1, next()
			},
		},
	}
	for _, err := range []error{errors.New("down"), nil, nil, errors.New("slow"), nil, ErrHistoryGone, nil, nil} {
		answers <- err
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	select {
	case err := <-done:
		assert.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader does not end")
	}
	assert.Equal(t, 3, ranges, "at the start, after a failure of the first, and after the history was gone")
	assert.Equal(t, 2, lost)
	assert.Equal(t, []string{"a", "b"}, usable(b))
}

func TestPeers(t *testing.T) {
	now := clock.Time(1)
	s := Settings{Name: "e", IP: "10.0.0.1", Ports: []int{1, 2}, Seeds: []string{"10.0.0.1:9", "10.0.0.2:9", "bad"}}
	board := NewBoard(clock.Fixed(&now))
	p := NewPeers(s, clock.Fixed(&now), log.NewNopLogger(), board, func() beat { return beat{IP: s.IP} }, func(string) engine.Roster { return engine.Roster{} })
	server := &routing.Server{ID: "a"}
	tell := func(number uint64, born int64, flights int) {
		p.hear(beat{Name: "f", IP: "10.0.0.2", Control: "c", Born: born, Number: number, Ready: true, Revision: 7, Flights: map[string]int{"a": flights}, Known: []sign{{IP: "10.0.0.3"}, {IP: "10.0.0.1"}}})
	}
	tell(2, 1, 5)
	t.Run("counts of peers add to the load", func(t *testing.T) {
		assert.Equal(t, 5, board.Running([]*routing.Server{server}))
	})
	t.Run("an overtaken message is dropped, a new life's is not", func(t *testing.T) {
		tell(1, 1, 9)
		assert.Equal(t, 5, board.Running([]*routing.Server{server}))
		tell(1, 2, 3)
		assert.Equal(t, 3, board.Running([]*routing.Server{server}))
	})
	t.Run("peers of peers are found", func(t *testing.T) {
		assert.Contains(t, p.targets, "10.0.0.3")
		assert.NotContains(t, p.targets, "10.0.0.1")
	})
	t.Run("who knows more is asked", func(t *testing.T) {
		control, ok := p.Ahead(6)
		assert.True(t, ok)
		assert.Equal(t, "c", control)
		_, ok = p.Ahead(7)
		assert.False(t, ok)
	})
	t.Run("the part of a sum never grows when peers fall silent", func(t *testing.T) {
		part := p.Part()
		now = now.Add(silentAfter + 1)
		p.expire()
		assert.InDelta(t, part, p.Part(), 0)
		assert.Zero(t, board.Running([]*routing.Server{server}), "a silent peer holds nothing")
	})
}
