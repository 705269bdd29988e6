package ticket

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validObjects returns objects of every kind that are valid together.
func validObjects() Objects {
	return Objects{
		Teams:    map[string]*Team{"desk": {Share: 2, Priority: 3, TokenLimit: 1000}},
		Zones:    map[string]*Zone{"lima-a": {State: StateIn}},
		Services: map[string]*Service{"check": {Kind: ModelService, Model: "m", MaxConcurrency: 16, MaxColdConcurrency: 2}, "archive": {Kind: PlainService, MaxConcurrency: 1, MaxColdConcurrency: 1}},
		Models:   map[string]*Model{"m": {Version: "v1", Adapters: []string{"a", "b"}}},
		Backends: map[string]*Backend{"e1": {State: StateOut, Role: PrefillRole}},
		Groups:   map[string]*Group{"g": {Ranks: []string{"e1", "e2"}, Slots: 8}},
	}
}

// assertField checks that err is an InvalidError for the given field; an empty field means that no error is expected.
func assertField(t *testing.T, err error, field string) {
	t.Helper()
	var e *InvalidError
	if field == "" {
		assert.NoError(t, err)
	} else if assert.True(t, errors.As(err, &e), "%v", err) {
		assert.Equal(t, field, e.Field)
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name, field string
		change      func(*Ticket)
	}{
		{"valid", "", func(*Ticket) {}},
		{"no objects", "", func(k *Ticket) { k.Objects = Objects{} }},
		{"no author", "author", func(k *Ticket) { k.Author = "" }},
		{"number already applied", "number", func(k *Ticket) { k.Number = 1 }},
		{"share 0", "teams.desk.share", func(k *Ticket) { k.Objects.Teams["desk"].Share = 0 }},
		{"share infinite", "teams.desk.share", func(k *Ticket) { k.Objects.Teams["desk"].Share = math.Inf(1) }},
		{"share not a number", "teams.desk.share", func(k *Ticket) { k.Objects.Teams["desk"].Share = math.NaN() }},
		{"empty name", "teams", func(k *Ticket) { k.Objects.Teams[""] = nil }},
		{"name with a slash", "teams", func(k *Ticket) { k.Objects.Teams["a/b"] = nil }},
		{"long name", "zones", func(k *Ticket) { k.Objects.Zones[strings.Repeat("z", maxNameBytes+1)] = nil }},
		{"zone state", "zones.lima-a.state", func(k *Ticket) { k.Objects.Zones["lima-a"].State = "half" }},
		{"service kind", "services.check.kind", func(k *Ticket) { k.Objects.Services["check"].Kind = "" }},
		{"plain service with a model", "services.archive.model", func(k *Ticket) { k.Objects.Services["archive"].Model = "m" }},
		{"model service without a model", "services.check.model", func(k *Ticket) { k.Objects.Services["check"].Model = "" }},
		{"model that does not exist", "services.check.model", func(k *Ticket) { k.Objects.Services["check"].Model = "n" }},
		{"removed model of a service", "services.check.model", func(k *Ticket) { k.Objects.Models["m"] = nil }},
		{"model and service removed", "", func(k *Ticket) { k.Objects.Models["m"], k.Objects.Services["check"] = nil, nil }},
		{"no concurrency", "services.check.bears", func(k *Ticket) { k.Objects.Services["check"].MaxConcurrency = 0 }},
		{"cold concurrency above warm", "services.check.cold", func(k *Ticket) { k.Objects.Services["check"].MaxColdConcurrency = 17 }},
		{"no cold concurrency", "services.check.cold", func(k *Ticket) { k.Objects.Services["check"].MaxColdConcurrency = 0 }},
		{"long stall", "services.check.stall", func(k *Ticket) { k.Objects.Services["check"].StallTimeout = maxStallMS + 1 }},
		{"no version", "models.m.version", func(k *Ticket) { k.Objects.Models["m"].Version = "" }},
		{"adapter twice", "models.m.adapters", func(k *Ticket) { k.Objects.Models["m"].Adapters = []string{"a", "a"} }},
		{"backend state", "backends.e1.state", func(k *Ticket) { k.Objects.Backends["e1"].State = "" }},
		{"backend role", "backends.e1.role", func(k *Ticket) { k.Objects.Backends["e1"].Role = "cook" }},
		{"no ranks", "groups.g.ranks", func(k *Ticket) { k.Objects.Groups["g"].Ranks = nil }},
		{"rank twice", "groups.g.ranks", func(k *Ticket) { k.Objects.Groups["g"].Ranks = []string{"e1", "e1"} }},
		{"no slots", "groups.g.slots", func(k *Ticket) { k.Objects.Groups["g"].Slots = 0 }},
		{"rank in two groups", "groups.h.ranks", func(k *Ticket) { k.Objects.Groups["h"] = &Group{Ranks: []string{"e2"}, Slots: 1} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := Ticket{Number: 2, Author: "ana", Objects: validObjects()}
			c.change(&k)
			assertField(t, Check(&State{Number: 1}, k), c.field)
		})
	}
	t.Run("a state above MaxStateBytes", func(t *testing.T) {
		s := &State{}
		for n := Number(1); s.Size < MaxStateBytes/2; n++ {
			k := Ticket{Number: n, Author: "ana", Objects: Objects{Teams: make(map[string]*Team)}}
			for i := range 10_000 {
				k.Objects.Teams[fmt.Sprintf("%s-%d-%d", strings.Repeat("t", 80), n, i)] = &Team{Share: 1}
			}
			s = s.Apply(k)
			require.Empty(t, s.Skipped)
		}
		k := Ticket{Number: s.Number + 1, Author: "ana", Objects: Objects{Teams: make(map[string]*Team)}}
		for i := range 10_000 {
			k.Objects.Teams[fmt.Sprintf("%s-more-%d", strings.Repeat("t", 80), i)] = &Team{Share: 1}
		}
		assertField(t, Check(s, k), "objects")
	})
}

func TestApplySharesUnchangedObjects(t *testing.T) {
	s := (&State{}).Apply(Ticket{Number: 1, Author: "ana", Objects: validObjects()})
	next := s.Apply(Ticket{Number: 2, Author: "ana", Objects: Objects{Zones: map[string]*Zone{"lima-a": nil, "lima-b": {State: StateOut}}}})
	t.Run("the earlier state is unchanged", func(t *testing.T) {
		assert.Equal(t, validObjects(), s.Objects)
	})
	t.Run("null removes an object and the rest is unchanged", func(t *testing.T) {
		assert.Equal(t, map[string]*Zone{"lima-b": {State: StateOut}}, next.Objects.Zones)
		assert.Equal(t, s.Objects.Teams, next.Objects.Teams)
	})
	t.Run("the hash depends on number and objects only", func(t *testing.T) {
		content, err := next.Snapshot()
		require.NoError(t, err)
		restored, err := DecodeSnapshot(content)
		require.NoError(t, err)
		assert.Equal(t, next.Hash, restored.Hash)
		assert.NotEqual(t, next.Hash, next.Apply(Ticket{Number: 3, Author: "ana"}).Hash)
	})
}

func TestDiff(t *testing.T) {
	s := (&State{}).Apply(Ticket{Number: 1, Author: "ana", Objects: validObjects()})
	diffs, err := DiffTicket(s, Ticket{Number: 2, Author: "ana", Objects: Objects{
		Teams:    map[string]*Team{"desk": {Share: 3, Priority: 3, TokenLimit: 1000}, "night": {Share: 1}},
		Backends: map[string]*Backend{"e1": nil, "e9": nil},
		Zones:    map[string]*Zone{"lima-a": {State: StateIn}},
	}})
	require.NoError(t, err)
	assert.Equal(t, "~ teams.desk.share 2 -> 3\n"+
		"+ teams.night {\"share\":1,\"priority\":0,\"limit\":0}\n"+
		"- backends.e1 {\"state\":\"out\",\"role\":\"prefill\",\"fence\":false}\n", Render(diffs))
	t.Run("an invalid ticket changes nothing", func(t *testing.T) {
		diffs, err := DiffTicket(s, Ticket{Number: 1, Author: "ana"})
		assertField(t, err, "number")
		assert.Empty(t, diffs)
	})
}

func TestStoreCompactsSealedTickets(t *testing.T) {
	const seal = 1000 // seal delay in milliseconds
	b, restored := NewStore(0, seal), NewStore(0, seal)
	last := Number(maxSealedTickets + 300)
	for n := Number(1); n <= last; n++ {
		add(t, b, 0, encode(t, n, "ana", float64(n)), 0)
	}
	require.Equal(t, last, b.State().Number)
	t.Run("keeps all tickets before the seal delay", func(t *testing.T) {
		assert.Zero(t, b.Base())
	})
	b.Advance(seal + 1)
	t.Run("keeps only the last tickets after the seal delay", func(t *testing.T) {
		assert.Equal(t, last-maxSealedTickets, b.Base())
		assert.Equal(t, last, b.LastSealed(seal+1))
	})
	t.Run("brings an empty store to the same state by a snapshot", func(t *testing.T) {
		items, err := b.After(seal+1, 0, MaxStateBytes)
		require.NoError(t, err)
		require.True(t, items[0].Snapshot)
		_, err = restored.AddSnapshot(0, items[0].Content)
		require.NoError(t, err)
		for _, i := range items[1:] {
			add(t, restored, 0, i.Content, i.Age)
		}
		assertSameObjects(t, b, restored)
	})
	t.Run("ignores conflicting content of a compacted ticket", func(t *testing.T) {
		before := b.State()
		add(t, b, seal+1, encode(t, 3, "eva", 9), seal)
		assert.Same(t, before, b.State())
	})
}

func TestStoreBoundsTicketsAfterGap(t *testing.T) {
	b := NewStore(0, 1000)
	pad := strings.Repeat("p", MaxTicketBytes-200)
	for n := Number(40); n >= 2; n-- {
		_, err := b.Add(0, []byte(fmt.Sprintf(`{"number":%d,"pad":"%s"}`, n, pad)), 0)
		require.NoError(t, err)
	}
	assert.LessOrEqual(t, b.contentBytes, maxKeptBytes)
	assert.True(t, b.Has(2), "the lowest is needed first")
	assert.False(t, b.Has(40))
	add(t, b, 0, encode(t, 1, "ana", 1), 0)
	assert.Greater(t, b.State().Number, Number(5))
}
