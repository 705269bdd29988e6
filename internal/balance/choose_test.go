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
		Zone:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Outstanding: rapid.Uint32Range(0, 6).Draw(t, "outstanding"),
		Tokens:      rapid.Uint64Range(0, 600).Draw(t, "tokens"),
		Load:        rapid.Uint64Range(0, 3000).Draw(t, "load"),
		Age:         clock.Span(rapid.IntRange(-5, 5000).Draw(t, "age")),
		Window:      rapid.Uint32Range(0, 8).Draw(t, "window"),
		Grant:       rapid.Uint32Range(0, 4).Draw(t, "grant"),
		Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
		Cached:      rapid.Bool().Draw(t, "cached"),
	}
}

func drawCandidates(t *rapid.T) []Candidate {
	candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 20).Draw(t, "candidates")
	for i := range candidates {
		candidates[i].Name = fmt.Sprint("server", i)
	}
	return candidates
}

// TestPickRules checks what must hold for any pick, whatever the loads.
func TestPickRules(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		call := Call{
			Fingerprint: rapid.Uint64Range(0, 9).Draw(t, "fingerprint"),
			Prefix:      rapid.Uint64Range(0, 9).Draw(t, "prefix"),
			Tokens:      rapid.Uint32Range(0, 400).Draw(t, "tokens"),
			Zone:        "a",
			Exclude:     []string{fmt.Sprint("server", rapid.IntRange(0, 19).Draw(t, "exclude"))},
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		i, ok := Chooser{Random: random.Uint64}.Pick(call, candidates)
		allowed := func(d Candidate) bool { return !d.Down && !slices.Contains(call.Exclude, d.Name) }
		require.Equal(t, slices.ContainsFunc(candidates, allowed), ok)
		if !ok {
			return
		}
		require.True(t, allowed(candidates[i]), "picked one that is down or excluded")
		free := func(d Candidate) bool { return allowed(d) && !full(&d) }
		if slices.ContainsFunc(candidates, free) {
			require.True(t, free(candidates[i]), "picked a full one while another is free")
		}
	})
}

// TestPickSuspect checks that choosers with any view of the load send a suspect content to the same backend server.
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
		call := Call{Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Suspect: true}
		i, okA := Chooser{}.Pick(call, candidates)
		slices.Reverse(other)
		k, okB := Chooser{}.Pick(call, other)
		require.Equal(t, okA, okB)
		if okA {
			require.Equal(t, candidates[i].Name, other[k].Name)
		}
	})
}

func idle(count int) []Candidate {
	candidates := make([]Candidate, count)
	for i := range candidates {
		candidates[i] = Candidate{Name: fmt.Sprint("server", i), Zone: "a", Window: 16, Grant: 4}
	}
	return candidates
}

// picks returns how often each candidate is picked for many contents of one prefix, without any work ending.
func picks(c Chooser, candidates []Candidate, count int, prefix uint64) []int {
	counts := make([]int, len(candidates))
	for k := range count {
		call := Call{Fingerprint: uint64(k + 1), Prefix: prefix, Tokens: 100, Zone: "a"}
		i, _ := c.Pick(call, candidates)
		candidates[i].Tokens += 100
		counts[i]++
	}
	return counts
}

func TestPick(t *testing.T) {
	chooser := func() Chooser { return Chooser{Random: rand.New(rand.NewPCG(1, 2)).Uint64} }
	t.Run("one prefix stays at its home while the home is no busier than others", func(t *testing.T) {
		candidates := idle(16)
		first, _ := chooser().Pick(Call{Fingerprint: 1, Prefix: 5, Tokens: 100, Zone: "a"}, candidates)
		for f := range uint64(50) {
			i, _ := chooser().Pick(Call{Fingerprint: f, Prefix: 5, Tokens: 100, Zone: "a"}, candidates)
			assert.Equal(t, first, i)
		}
	})
	t.Run("one hot prefix does not overload its home", func(t *testing.T) {
		counts := picks(chooser(), idle(16), 1600, 5)
		assert.LessOrEqual(t, slices.Max(counts), 150)
		assert.GreaterOrEqual(t, slices.Min(counts), 50)
	})
	t.Run("a cached prefix does not draw work to an overloaded backend server", func(t *testing.T) {
		candidates := []Candidate{{Name: "a", Zone: "a", Cached: true, Tokens: 200}, {Name: "b", Zone: "a"}, {Name: "c", Zone: "a"}}
		call := Call{Tokens: 100, Zone: "a"}
		tuning := Tuning{Choices: 3, Affinity: 3, Bound: 1.25, Slack: 1, HalfLife: 1}
		i, _ := Chooser{Random: rand.New(rand.NewPCG(1, 2)).Uint64, Tuning: tuning}.Pick(call, candidates)
		assert.NotZero(t, i)
		candidates[0].Tokens = 150
		i, _ = Chooser{Random: rand.New(rand.NewPCG(1, 2)).Uint64, Tuning: tuning}.Pick(call, candidates)
		assert.Zero(t, i)
	})
	t.Run("work that overloads its homes goes to another holder of the prefix", func(t *testing.T) {
		candidates := idle(16)
		c, call := chooser(), Call{Fingerprint: 1, Prefix: 5, Tokens: 100, Zone: "a"}
		var homes []int
		for range 2 {
			i, _ := c.Pick(call, candidates)
			candidates[i].Tokens = 100_000
			homes = append(homes, i)
		}
		holder := 0
		for slices.Contains(homes, holder) {
			holder++
		}
		candidates[holder].Cached = true
		for range 50 {
			i, _ := c.Pick(call, candidates)
			assert.Equal(t, holder, i)
		}
	})
	t.Run("one hot content does not overload its homes", func(t *testing.T) {
		c, candidates := chooser(), idle(16)
		for range 1600 {
			i, _ := c.Pick(Call{Fingerprint: 3, Tokens: 100, Zone: "a"}, candidates)
			candidates[i].Tokens += 100
		}
		for i := range candidates {
			assert.LessOrEqual(t, candidates[i].Tokens, uint64(15_000))
		}
	})
	t.Run("calls without any hash spread", func(t *testing.T) {
		candidates := idle(8)
		c := chooser()
		for range 800 {
			i, ok := c.Pick(Call{Tokens: 100, Zone: "a"}, candidates)
			require.True(t, ok)
			candidates[i].Tokens += 100
		}
		for i := range candidates {
			assert.InDelta(t, 10_000, candidates[i].Tokens, 2000)
		}
	})
	t.Run("an old report counts less than a fresh one", func(t *testing.T) {
		p := pick{tuning: DefaultTuning()}
		fresh := p.load(&Candidate{Load: 1000, Tokens: 100})
		old := p.load(&Candidate{Load: 1000, Tokens: 100, Age: 10 * clock.Second})
		assert.InDelta(t, 1100, fresh, 1e-9)
		assert.Less(t, old, fresh)
		assert.Greater(t, old, 100.0)
	})
	t.Run("a grant of none is full only where a window was reported", func(t *testing.T) {
		assert.True(t, full(&Candidate{Window: 2}))
		assert.False(t, full(&Candidate{}))
	})
	t.Run("allocates nothing", func(t *testing.T) {
		c, candidates := chooser(), idle(320)
		call := Call{Fingerprint: 1, Prefix: 2, Tokens: 100, Exclude: []string{"server1"}}
		assert.Zero(t, testing.AllocsPerRun(100, func() { c.Pick(call, candidates) }))
	})
}
