package lifecycle

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestStart(t *testing.T) {
	fault := errors.New("fault")
	t.Run("returns the result of the function", func(t *testing.T) {
		assert.NoError(t, <-Start(t.Context(), func(context.Context) error { return nil }))
		assert.ErrorIs(t, <-Start(t.Context(), func(context.Context) error { return fault }), fault)
	})
	t.Run("returns a panic as an error", func(t *testing.T) {
		assert.ErrorContains(t, <-Start(t.Context(), func(context.Context) error { panic("broken") }), "broken")
	})
	t.Run("passes the context to the function", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		done := Start(ctx, func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestRegistry(t *testing.T) {
	r := NewRegistry[int]("number")
	r.Register("two", 2)
	r.Register("one", 1)
	t.Run("returns registered plug-ins", func(t *testing.T) {
		got, err := r.Lookup("two")
		require.NoError(t, err)
		assert.Equal(t, 2, got)
		assert.Equal(t, []string{"one", "two"}, r.Names())
	})
	t.Run("fails for an unknown name", func(t *testing.T) {
		_, err := r.Lookup("three")
		assert.True(t, errors.Is(err, ErrNotRegistered))
	})
	t.Run("panics if a name is registered twice", func(t *testing.T) {
		assert.Panics(t, func() { r.Register("one", 3) })
	})
}
