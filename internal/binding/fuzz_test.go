package binding

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzDecode reads bindings as callers send them: what is readable is written and read again the same.
func FuzzDecode(f *testing.F) {
	f.Add(token(5).Encode())
	f.Add("e30")
	f.Add("!")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Decode(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrToken)
			return
		}
		again, err := Decode(got.Encode())
		require.NoError(t, err)
		assert.Equal(t, got, again)
	})
}
