package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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
