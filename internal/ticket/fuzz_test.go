package ticket

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"number":1,"author":"ana","objects":{"teams":{"desk":{"share":1.5,"priority":3,"limit":0}}}}`))
	f.Add([]byte(`{"number":2,"author":"ana","objects":{"groups":{"g":{"ranks":["a","a"],"slots":2}},"zones":{"z":null}}}`))
	f.Add([]byte(`{"number":1e3}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		ticket, err := Decode(content)
		if err != nil {
			assertInvalid(t, err)
			return
		}
		number, form, err := canonical(content)
		require.NoError(t, err)
		again, err := Decode(form)
		require.NoError(t, err)
		assert.Equal(t, ticket.Number, number)
		_, same, err := canonical(form)
		require.NoError(t, err)
		assert.Equal(t, string(form), string(same))
		assert.Equal(t, (&State{}).Apply(ticket).Hash, (&State{}).Apply(again).Hash)
		if err := Check(&State{}, ticket); err != nil {
			assertInvalid(t, err)
		}
	})
}

// assertInvalid checks that an error names a field.
func assertInvalid(t *testing.T, err error) {
	t.Helper()
	var e *InvalidError
	assert.True(t, errors.As(err, &e) && e.Field != "", "%v", err)
}
