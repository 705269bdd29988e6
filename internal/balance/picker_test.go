package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

func drawCandidate(t *rapid.T) Candidate {
	return Candidate{
		Zone:           rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Outstanding:    rapid.Uint32Range(0, 6).Draw(t, "outstanding"),
		OwnTokens:      rapid.Uint64Range(0, 600).Draw(t, "tokens"),
		ReportedTokens: rapid.Uint64Range(0, 3000).Draw(t, "load"),
		ReportAge:      clock.Span(rapid.IntRange(-5, 5000).Draw(t, "age")),
		Window:         rapid.Uint32Range(0, 8).Draw(t, "window"),
		Grant:          rapid.Uint32Range(0, 4).Draw(t, "grant"),
		Down:           rapid.IntRange(0, 4).Draw(t, "down") == 0,
		PrefixCached:   rapid.Bool().Draw(t, "cached"),
	}
}

func drawCandidates(t *rapid.T) []Candidate {
	candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 20).Draw(t, "candidates")
	for i := range candidates {
		candidates[i].Name = fmt.Sprint("server", i)
	}
	return candidates
}

// TestPickInvariants checks the invariants of a pick under any load.
func TestPickInvariants(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		info := PickInfo{
			Fingerprint: rapid.Uint64Range(0, 9).Draw(t, "fingerprint"),
			PrefixHash:  rapid.Uint64Range(0, 9).Draw(t, "prefix"),
			Tokens:      rapid.Uint32Range(0, 400).Draw(t, "tokens"),
			Zone:        "a",
			Exclude:     []string{fmt.Sprint("server", rapid.IntRange(0, 19).Draw(t, "exclude"))},
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		i, ok := Picker{Random: random.Uint64}.Pick(info, candidates)
		allowed := func(d Candidate) bool { return !d.Down && !slices.Contains(info.Exclude, d.Name) }
		require.Equal(t, slices.ContainsFunc(candidates, allowed), ok)
		if !ok {
			return
		}
		require.True(t, allowed(candidates[i]), "picked a candidate that is down or excluded")
		free := func(d Candidate) bool { return allowed(d) && !full(&d) }
		if slices.ContainsFunc(candidates, free) {
			require.True(t, free(candidates[i]), "picked a full candidate while another has free slots")
		}
	})
}

// TestPickSuspect checks that pickers with different views of the load send a suspect content to the same server.
func TestPickSuspect(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		other := slices.Clone(candidates)
		for i := range other {
			down := other[i].Down
			other[i] = drawCandidate(t)
			other[i].Name = candidates[i].Name
			other[i].Down = down
		}
		info := PickInfo{Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Suspect: true}
		i, okA := Picker{}.Pick(info, candidates)
		slices.Reverse(other)
		k, okB := Picker{}.Pick(info, other)
		require.Equal(t, okA, okB)
		if okA {
			require.Equal(t, candidates[i].Name, other[k].Name)
		}
	})
}

func idleCandidates(count int) []Candidate {
	candidates := make([]Candidate, count)
	for i := range candidates {
		candidates[i] = Candidate{Name: fmt.Sprint("server", i), Zone: "a", Window: 16, Grant: 4}
	}
	return candidates
}

// pickCounts returns how often each candidate is picked for count contents of one prefix while no request completes.
func pickCounts(picker Picker, candidates []Candidate, count int, prefix uint64) []int {
	counts := make([]int, len(candidates))
	for k := range count {
		info := PickInfo{Fingerprint: uint64(k + 1), PrefixHash: prefix, Tokens: 100, Zone: "a"}
		i, _ := picker.Pick(info, candidates)
		candidates[i].OwnTokens += 100
		counts[i]++
	}
	return counts
}

func TestPick(t *testing.T) {
	newPicker := func() Picker { return Picker{Random: rand.New(rand.NewPCG(1, 2)).Uint64} }
	t.Run("requests of one prefix go to one server while it is no busier than others", func(t *testing.T) {
		candidates := idleCandidates(16)
		first, _ := newPicker().Pick(PickInfo{Fingerprint: 1, PrefixHash: 5, Tokens: 100, Zone: "a"}, candidates)
		for f := range uint64(50) {
			i, _ := newPicker().Pick(PickInfo{Fingerprint: f, PrefixHash: 5, Tokens: 100, Zone: "a"}, candidates)
			assert.Equal(t, first, i)
		}
	})
	t.Run("one hot prefix does not overload its server", func(t *testing.T) {
		counts := pickCounts(newPicker(), idleCandidates(16), 1600, 5)
		assert.LessOrEqual(t, slices.Max(counts), 150)
		assert.GreaterOrEqual(t, slices.Min(counts), 50)
	})
	t.Run("a cached prefix does not attract requests to an overloaded server", func(t *testing.T) {
		candidates := []Candidate{{Name: "a", Zone: "a", PrefixCached: true, OwnTokens: 200}, {Name: "b", Zone: "a"}, {Name: "c", Zone: "a"}}
		info := PickInfo{Tokens: 100, Zone: "a"}
		config := PickerConfig{ContentChoices: 3, CacheSavings: 3, LoadBound: 1.25, BoundSlack: 1, ReportHalfLife: 1}
		i, _ := Picker{Random: rand.New(rand.NewPCG(1, 2)).Uint64, Config: config}.Pick(info, candidates)
		assert.NotZero(t, i)
		candidates[0].OwnTokens = 150
		i, _ = Picker{Random: rand.New(rand.NewPCG(1, 2)).Uint64, Config: config}.Pick(info, candidates)
		assert.Zero(t, i)
	})
	t.Run("requests of an overloaded prefix go to another server that has it cached", func(t *testing.T) {
		candidates := idleCandidates(16)
		picker, info := newPicker(), PickInfo{Fingerprint: 1, PrefixHash: 5, Tokens: 100, Zone: "a"}
		var overloaded []int
		for range 2 {
			i, _ := picker.Pick(info, candidates)
			candidates[i].OwnTokens = 100_000
			overloaded = append(overloaded, i)
		}
		cached := 0
		for slices.Contains(overloaded, cached) {
			cached++
		}
		candidates[cached].PrefixCached = true
		for range 50 {
			i, _ := picker.Pick(info, candidates)
			assert.Equal(t, cached, i)
		}
	})
	t.Run("one hot content does not overload its servers", func(t *testing.T) {
		picker, candidates := newPicker(), idleCandidates(16)
		for range 1600 {
			i, _ := picker.Pick(PickInfo{Fingerprint: 3, Tokens: 100, Zone: "a"}, candidates)
			candidates[i].OwnTokens += 100
		}
		for i := range candidates {
			assert.LessOrEqual(t, candidates[i].OwnTokens, uint64(15_000))
		}
	})
	t.Run("requests without a hash are spread", func(t *testing.T) {
		candidates := idleCandidates(8)
		picker := newPicker()
		for range 800 {
			i, ok := picker.Pick(PickInfo{Tokens: 100, Zone: "a"}, candidates)
			require.True(t, ok)
			candidates[i].OwnTokens += 100
		}
		for i := range candidates {
			assert.InDelta(t, 10_000, candidates[i].OwnTokens, 2000)
		}
	})
	t.Run("an old report counts less than a recent one", func(t *testing.T) {
		p := pickState{config: DefaultPickerConfig()}
		recent := p.load(&Candidate{ReportedTokens: 1000, OwnTokens: 100})
		old := p.load(&Candidate{ReportedTokens: 1000, OwnTokens: 100, ReportAge: 10 * clock.Second})
		assert.InDelta(t, 1100, recent, 1e-9)
		assert.Less(t, old, recent)
		assert.Greater(t, old, 100.0)
	})
	t.Run("a zero grant is full only if a window was reported", func(t *testing.T) {
		assert.True(t, full(&Candidate{Window: 2}))
		assert.False(t, full(&Candidate{}))
	})
	t.Run("allocates nothing", func(t *testing.T) {
		picker, candidates := newPicker(), idleCandidates(320)
		info := PickInfo{Fingerprint: 1, PrefixHash: 2, Tokens: 100, Exclude: []string{"server1"}}
		assert.Zero(t, testing.AllocsPerRun(100, func() { picker.Pick(info, candidates) }))
	})
}
