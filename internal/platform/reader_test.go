package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// newTestReader returns a Reader for a test server with the handler.
func newTestReader(t *testing.T, handler http.HandlerFunc) *Reader {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return NewReader(s.URL+"/", s.URL)
}

func TestReader(t *testing.T) {
	t.Run("requests tickets above a number and sends the wait time", func(t *testing.T) {
		r := newTestReader(t, func(w http.ResponseWriter, q *http.Request) {
			assert.Equal(t, "/tickets?after=7&wait=300", q.URL.String())
			_, _ = w.Write([]byte(`{"tickets":[{"number":8}]}`))
		})
		tickets, err := r.Tickets(context.Background(), 7, 300)
		require.NoError(t, err)
		assert.Equal(t, [][]byte{[]byte(`{"number":8}`)}, tickets)
		assert.Equal(t, uint64(1), r.Calls.Load())
	})
	t.Run("a platform without a snapshot returns none", func(t *testing.T) {
		content, err := newTestReader(t, http.NotFound).Snapshot(context.Background())
		require.NoError(t, err)
		assert.Nil(t, content)
	})
	t.Run("a list that is not newer has version 0", func(t *testing.T) {
		r := newTestReader(t, func(w http.ResponseWriter, q *http.Request) {
			assert.Equal(t, "5", q.URL.Query().Get("after"))
			w.WriteHeader(http.StatusNotModified)
		})
		l, _, err := r.Instances(context.Background(), 5)
		require.NoError(t, err)
		assert.Zero(t, l.Version)
	})
	t.Run("an error response is a StatusError", func(t *testing.T) {
		r := newTestReader(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
		_, err := r.Tickets(context.Background(), 0, 0)
		var e *StatusError
		require.True(t, errors.As(err, &e), "%v", err)
		assert.Equal(t, http.StatusTooManyRequests, e.Code)
	})
	t.Run("a response beyond the size limit is rejected", func(t *testing.T) {
		r := newTestReader(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, MaxResponseBytes+1)) })
		_, err := r.Tickets(context.Background(), 0, 0)
		assert.Error(t, err)
	})
	t.Run("a watch ends with its context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		requested, release := make(chan bool, 1), make(chan bool)
		defer close(release)
		r := newTestReader(t, func(http.ResponseWriter, *http.Request) {
			requested <- true
			<-release
		})
		done := make(chan error, 1)
		go func() {
			_, err := r.Tickets(ctx, 0, clock.Minute)
			done <- err
		}()
		<-requested
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}
