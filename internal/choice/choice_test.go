package choice

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
	t.Run("the choice is no worse than any baseline", func(t *testing.T) { assertRows(t, choiceRows(extents[0])) })
	t.Run("a flood leaves the other teams their shares", func(t *testing.T) { assertRows(t, shareRows()) })
	t.Run("overload leaves the goodput", func(t *testing.T) { assertRows(t, overloadRows()) })
}

func TestRepeats(t *testing.T) {
	assert.Equal(t, shareRows(), shareRows())
	assert.Equal(t, overloadRows(), overloadRows())
}

func TestServer(t *testing.T) {
	l := &loop{}
	s := &server{loop: l, slow: 1}
	var hits []bool
	ends := 0
	for range 2 {
		s.submit(&task{
			prefix: 1, prefixTokens: 1000, suffixTokens: 24, output: 3,
			first: func(hit bool) { hits = append(hits, hit) },
			done:  func() { ends++ },
		})
		l.until(l.now + 1000)
	}
	assert.Equal(t, []bool{false, true}, hits)
	assert.Equal(t, 2, ends)
	assert.Zero(t, s.load)
	assert.False(t, s.busy)
}
