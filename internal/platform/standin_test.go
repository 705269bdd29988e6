package platform_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/platform"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// TestReaderAgainstStandIns checks that the Reader and the test doubles of the platform use the same protocol.
func TestReaderAgainstStandIns(t *testing.T) {
	ctx := context.Background()
	tickets, err := standin.NewTickets("", "")
	require.NoError(t, err)
	defer tickets.Stop()
	list, err := standin.NewList("", "")
	require.NoError(t, err)
	defer list.Stop()
	r := platform.NewReader(tickets.URL(), list.URL())
	first := []byte(`{"number":1,"author":"ana","objects":{}}`)

	t.Run("empty services", func(t *testing.T) {
		contents, err := r.Tickets(ctx, 0, 0)
		require.NoError(t, err)
		assert.Empty(t, contents)
		snapshot, err := r.Snapshot(ctx)
		require.NoError(t, err)
		assert.Nil(t, snapshot)
		l, invalid, err := r.Instances(ctx, 0)
		require.NoError(t, err)
		assert.Empty(t, invalid)
		assert.Empty(t, l.Instances)
	})
	t.Run("a watch returns what is published", func(t *testing.T) {
		done := make(chan [][]byte, 1)
		go func() {
			contents, _ := r.Tickets(ctx, 0, clock.Minute)
			done <- contents
		}()
		require.NoError(t, tickets.Publish(first))
		assert.Equal(t, [][]byte{first}, <-done)
	})
	t.Run("the current list", func(t *testing.T) {
		i := standin.Instance{Name: "e1", Role: "agent", Peer: "127.0.0.1:7001", Zone: "lima-a", State: "live"}
		list.Set([]standin.Instance{i})
		l, invalid, err := r.Instances(ctx, 0)
		require.NoError(t, err)
		assert.Empty(t, invalid)
		assert.Positive(t, l.Version)
		assert.Equal(t, []platform.Instance{platform.Instance(i)}, l.Instances)
	})
	t.Run("an outage is an error", func(t *testing.T) {
		tickets.SetFault(func(f *standin.TicketFault) { f.Down = true })
		_, err := r.Tickets(ctx, 0, 0)
		var e *platform.StatusError
		require.True(t, errors.As(err, &e), "%v", err)
		assert.Equal(t, http.StatusServiceUnavailable, e.Code)
	})
	t.Run("a snapshot is returned unchanged", func(t *testing.T) {
		tickets.SetFault(func(f *standin.TicketFault) { f.Down = false })
		content := []byte(`{"number":4,"objects":{"zones":{"lima-a":{"state":"out"}}}}`)
		tickets.PublishSnapshot(content)
		snapshot, err := r.Snapshot(ctx)
		require.NoError(t, err)
		assert.Equal(t, content, snapshot)
	})
}
