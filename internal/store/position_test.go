package store

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPosition(t *testing.T) {
	ordered := []Position{{}, At(0, 83), At(1, 1), At(1, 83), At(2, 70), At(2, 84), At(3, 1)}
	for i, p := range ordered {
		for j, o := range ordered {
			assert.Equal(t, i > j, p.After(o), "%v after %v", p, o)
			assert.Equal(t, i == j, p.Compare(o) == 0, "%v is %v", p, o)
		}
	}
	t.Run("an unknown era", func(t *testing.T) {
		assert.True(t, Position{}.IsZero())
		assert.False(t, At(0, 83).HasEra())
		assert.Equal(t, At(2, 83), At(0, 83).WithEraOf(At(2, 70)))
	})
	t.Run("the numbers of different eras", func(t *testing.T) {
		assert.True(t, At(1, 83).NumberedAbove(At(2, 70)))
		assert.False(t, At(2, 70).NumberedAbove(At(1, 70)))
	})
}
