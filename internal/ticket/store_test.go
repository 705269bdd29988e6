package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// encode returns a ticket that gives one team a share.
func encode(t require.TestingT, n Number, author string, share float64) []byte {
	content, err := json.Marshal(Ticket{Number: n, Author: author, Objects: Objects{
		Teams: map[string]*Team{"desk": {Share: share}, author: {Share: float64(n)}},
	}})
	require.NoError(t, err)
	return content
}

// add records a content that must be accepted.
func add(t require.TestingT, b *Store, now clock.Time, content []byte, age clock.Span) {
	_, err := b.Add(now, content, age)
	require.NoError(t, err)
}

// assertApplied checks the active number and the share of team desk.
func assertApplied(t assert.TestingT, b *Store, n Number, share float64) {
	assert.Equal(t, n, b.State().Number)
	if team := b.State().Objects.Teams["desk"]; assert.NotNil(t, team) {
		assert.Equal(t, share, team.Share)
	}
}

func TestStore(t *testing.T) {
	t.Run("a ticket is applied after the settle delay", func(t *testing.T) {
		b := NewStore(1000, 60000)
		add(t, b, 0, encode(t, 1, "ana", 2), 0)
		assert.False(t, b.Ready())
		at, ok := b.NextAdvance()
		assert.True(t, ok)
		assert.Equal(t, clock.Time(1000), at)
		assert.True(t, b.Advance(1000))
		assertApplied(t, b, 1, 2)
	})
	t.Run("a ticket older than the settle delay is applied at once", func(t *testing.T) {
		b := NewStore(1000, 60000)
		add(t, b, 0, encode(t, 1, "ana", 2), 1000)
		assertApplied(t, b, 1, 2)
	})
	t.Run("a gap holds back later tickets and is reported", func(t *testing.T) {
		b := NewStore(0, 60000)
		add(t, b, 0, encode(t, 1, "ana", 1), 0)
		add(t, b, 10, encode(t, 3, "ana", 3), 0)
		assertApplied(t, b, 1, 1)
		n, since, ok := b.Missing(60)
		assert.True(t, ok)
		assert.Equal(t, Number(2), n)
		assert.Equal(t, clock.Span(50), since)
		add(t, b, 70, encode(t, 2, "ana", 2), 0)
		assertApplied(t, b, 3, 3)
	})
	t.Run("an invalid ticket is skipped with its reason", func(t *testing.T) {
		b := NewStore(0, 60000)
		add(t, b, 0, encode(t, 1, "ana", 1), 0)
		add(t, b, 0, encode(t, 2, "ana", -1), 0)
		add(t, b, 0, []byte(`{"number":3,"colour":"red"}`), 0)
		add(t, b, 0, encode(t, 4, "ana", 4), 0)
		assertApplied(t, b, 4, 4)
		require.Len(t, b.State().Skipped, 2)
		assert.Equal(t, "teams.desk.share", b.State().Skipped[0].Field)
		assert.Equal(t, SkippedTicket{Number: 3, Field: "colour", Reason: `json: unknown field "colour"`}, b.State().Skipped[1])
	})
	t.Run("a stale or duplicate ticket changes nothing", func(t *testing.T) {
		b := NewStore(0, 60000)
		add(t, b, 0, encode(t, 1, "ana", 1), 0)
		add(t, b, 0, encode(t, 2, "ana", 2), 0)
		before := b.State()
		add(t, b, 99999, encode(t, 1, "ana", 1), 0)
		assert.Same(t, before, b.State())
		assert.Empty(t, b.Conflicts(99999))
	})
	t.Run("white space causes no conflict", func(t *testing.T) {
		b := NewStore(0, 60000)
		add(t, b, 0, []byte(`{"number":1,"author":"ana","objects":{}}`), 0)
		add(t, b, 0, []byte(`{ "author":"ana", "number":1, "objects":{} }`), 0)
		assert.Empty(t, b.Conflicts(0))
	})
	t.Run("a snapshot that is not ahead changes nothing", func(t *testing.T) {
		b := NewStore(0, 60000)
		add(t, b, 0, encode(t, 1, "ana", 1), 0)
		add(t, b, 0, encode(t, 2, "ana", 2), 0)
		before := b.State()
		for _, content := range []string{`{"number":1,"objects":{}}`, `{"number":2,"objects":{}}`} {
			changed, err := b.AddSnapshot(0, []byte(content))
			require.NoError(t, err)
			assert.False(t, changed)
			assert.Same(t, before, b.State())
		}
	})
	t.Run("conflicting content seen too late loses and is reported", func(t *testing.T) {
		low, high := orderedByHash(t)
		b := NewStore(1000, 60000)
		add(t, b, 0, high, 0)
		b.Advance(1000)
		before := b.State()
		add(t, b, 60001, low, 0)
		assert.Same(t, before, b.State())
		conflicts := b.Conflicts(60001)
		require.Len(t, conflicts, 1)
		assert.True(t, conflicts[0].Lost[0].Late)
	})
	t.Run("conflicting content that another process saw in time wins even if it arrives late", func(t *testing.T) {
		low, high := orderedByHash(t)
		b := NewStore(1000, 60000)
		add(t, b, 0, high, 0)
		b.Advance(1000)
		add(t, b, 90000, low, 80000)
		assert.Equal(t, "low", authorOf(t, b))
		assert.False(t, b.Conflicts(90000)[0].Lost[0].Late)
	})
}

// orderedByHash returns two contents of number 1 by authors low and high; the content by low has the lower hash.
func orderedByHash(t *testing.T) (low, high []byte) {
	t.Helper()
	for share := 1.0; share < 100; share++ {
		low, high = encode(t, 1, "low", share), encode(t, 1, "high", share)
		if (&candidateSet{observations: []observation{newObservation(low, 0), newObservation(high, 0)}}).winner(0).hash == newObservation(low, 0).hash {
			return low, high
		}
	}
	t.Fatal("no pair of contents in the wanted hash order")
	return nil, nil
}

func authorOf(t *testing.T, b *Store) string {
	t.Helper()
	for name := range b.State().Objects.Teams {
		if name != "desk" {
			return name
		}
	}
	return ""
}

func TestAddRejectsInvalidContent(t *testing.T) {
	b := NewStore(0, 0)
	for name, content := range map[string][]byte{
		"no number":       []byte(`{"author":"ana"}`),
		"number 0":        []byte(`{"number":0}`),
		"negative number": []byte(`{"number":-1}`),
		"invalid JSON":    []byte(`{"number":1`),
		"far ahead":       encode(t, maxAhead+1, "ana", 1),
		"too long":        make([]byte, MaxTicketBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := b.Add(0, content, 0)
			var e *InvalidError
			assert.True(t, errors.As(err, &e), "%v", err)
			assert.False(t, b.Ready())
		})
	}
}

// publication is one content and the time at which some process first saw it.
type publication struct {
	content   []byte
	firstSeen clock.Time
}

func drawPublications(t *rapid.T, numbers, contents int, spread int64) (all []publication) {
	for n := 1; n <= numbers; n++ {
		for r := range rapid.IntRange(1, contents).Draw(t, fmt.Sprintf("contents%d", n)) {
			first := rapid.Int64Range(0, spread).Draw(t, "first")
			share := float64(rapid.IntRange(0, 5).Draw(t, "share")) // 0 is invalid, so that some tickets are skipped
			all = append(all, publication{encode(t, Number(n), fmt.Sprintf("author%d", r), share), clock.Time(first)})
		}
	}
	return all
}

// deliver adds publications to a store after random delays, in random order and some of them twice.
func deliver(t *rapid.T, b *Store, all []publication, delay int64) {
	order := rapid.Permutation(append(append([]publication(nil), all...), all[:len(all)/2]...)).Draw(t, "order")
	now := clock.Time(0)
	for _, s := range order {
		now = max(now, s.firstSeen).Add(clock.Span(rapid.Int64Range(0, delay).Draw(t, "delay")))
		add(t, b, now, s.content, now.Sub(s.firstSeen))
	}
	b.Advance(now.Add(b.settleDelay))
}

func TestStoreProperties(t *testing.T) {
	t.Run("every order of arrival gives the same state", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := drawPublications(t, 6, 3, 5000)
			first, second := NewStore(1000, 2000), NewStore(1000, 2000)
			deliver(t, first, all, 3000)
			deliver(t, second, all, 10)
			assert.Equal(t, first.State(), second.State())
			assert.Equal(t, Number(6), first.State().Number)
		})
	})
	t.Run("without conflicts the state never reverts, with stale, duplicate and reordered tickets", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := drawPublications(t, 8, 1, 5000)
			b, plain := NewStore(100, 200), &State{}
			states := map[Number]*State{0: plain}
			for n, s := range all {
				plain = applyContent(plain, Number(n+1), s.content)
				states[plain.Number] = plain
			}
			now, last := clock.Time(0), Number(0)
			for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
				now += clock.Time(rapid.Int64Range(0, 500).Draw(t, "pause"))
				s := rapid.SampledFrom(all).Draw(t, "arrival")
				add(t, b, now, s.content, clock.Span(rapid.Int64Range(0, 300).Draw(t, "age")))
				state := b.State()
				assert.GreaterOrEqual(t, state.Number, last)
				assert.Equal(t, states[state.Number].Hash, state.Hash)
				last = state.Number
			}
		})
	})
	t.Run("a snapshot and the tickets from the start give the same state", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := drawPublications(t, 8, 1, 0)
			full, restored := NewStore(0, 0), NewStore(0, 0)
			at := rapid.IntRange(1, len(all)).Draw(t, "at")
			for n, s := range all {
				add(t, full, 0, s.content, 0)
				if n+1 == at {
					content, err := full.State().Snapshot()
					require.NoError(t, err)
					_, err = restored.AddSnapshot(0, content)
					require.NoError(t, err)
				}
			}
			for _, s := range all {
				add(t, restored, 0, s.content, 0)
			}
			assertSameObjects(t, full, restored)
		})
	})
	t.Run("the items for a peer bring it to the same state", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := drawPublications(t, 6, 3, 1000)
			b, peer := NewStore(0, 2000), NewStore(0, 2000)
			deliver(t, b, all, 100)
			now := clock.Time(10000)
			limit := rapid.IntRange(1, 1000).Draw(t, "limit")
			for range 3 * len(all) {
				items, err := b.After(now, peer.LastContiguous(), limit)
				require.NoError(t, err)
				for _, i := range items {
					add(t, peer, now, i.Content, i.Age)
				}
			}
			items, err := b.After(now, 0, 1<<20)
			require.NoError(t, err)
			for _, i := range items {
				add(t, peer, now, i.Content, i.Age)
			}
			assertSameObjects(t, b, peer)
		})
	})
}

func assertSameObjects(t assert.TestingT, a, b *Store) {
	assert.Equal(t, a.State().Number, b.State().Number)
	assert.Equal(t, a.State().Hash, b.State().Hash)
	assert.Equal(t, a.State().Size, b.State().Size)
	assert.Equal(t, a.State().Objects, b.State().Objects)
}
