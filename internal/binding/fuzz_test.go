package binding

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzDecode checks that every binding that decodes is unchanged after encoding and decoding it again.
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
