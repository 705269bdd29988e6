package balancesim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/measure"
)

func assertRows(t *testing.T, rows []measure.Row) {
	t.Helper()
	require.NotEmpty(t, rows)
	for _, r := range rows {
		t.Logf("%-36s %10.3f %-18s %-10s %s", r.Name, r.Value, r.Unit, r.Target, r.Verdict)
		assert.NotEqual(t, measure.Missed, r.Verdict, r.Name)
	}
}

func TestRows(t *testing.T) {
	t.Run("the policy is no worse than any baseline", func(t *testing.T) { assertRows(t, choiceRows(scenarios[0])) })
	t.Run("a flood of one team leaves the others their shares", func(t *testing.T) { assertRows(t, shareRows()) })
	t.Run("overload keeps the goodput", func(t *testing.T) { assertRows(t, overloadRows()) })
}

func TestDeterministic(t *testing.T) {
	assert.Equal(t, shareRows(), shareRows())
	assert.Equal(t, overloadRows(), overloadRows())
}

func TestServer(t *testing.T) {
	l := &eventLoop{}
	s := &server{loop: l, slowdown: 1}
	var hits []bool
	ends := 0
	for range 2 {
		s.submit(&request{
			prefix: 1, prefixTokens: 1000, suffixTokens: 24, outputTokens: 3,
			onFirstToken: func(hit bool) { hits = append(hits, hit) },
			onDone:       func() { ends++ },
		})
		l.runUntil(l.now + 1000)
	}
	assert.Equal(t, []bool{false, true}, hits)
	assert.Equal(t, 2, ends)
	assert.Zero(t, s.loadTokens)
	assert.False(t, s.busy)
}
