package node

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

func TestCounted(t *testing.T) {
	m := telemetry.NewMetrics()
	down := errors.New("down")
	r := counted(&platform.Reader{
		Tickets:  func(context.Context, uint64, clock.Span) ([][]byte, error) { return [][]byte{{1}}, nil },
		Snapshot: func(context.Context) ([]byte, error) { return nil, down },
		Instances: func(context.Context, uint64) (platform.List, []error, error) {
			return platform.List{Version: 7}, []error{down}, nil
		},
	}, m)
	tickets, err := r.Tickets(t.Context(), 0, 0)
	assert.NoError(t, err)
	assert.Len(t, tickets, 1)
	_, err = r.Tickets(t.Context(), 0, clock.Second)
	assert.NoError(t, err)
	_, err = r.Snapshot(t.Context())
	assert.ErrorIs(t, err, down)
	l, faults, err := r.Instances(t.Context(), 0)
	assert.NoError(t, err)
	assert.Equal(t, uint64(7), l.Version)
	assert.Len(t, faults, 1)
	for _, kind := range []string{ticketCalls, watchCalls, snapshotCalls, listCalls} {
		assert.Equal(t, uint64(1), m.Platform.Get(kind).Get(), kind)
	}
	assert.Equal(t, uint64(1), m.Faults.Get(snapshotCalls).Get())
	assert.Equal(t, uint64(0), m.Faults.Get(listCalls).Get())
	assert.Equal(t, uint64(1), m.Bad.Get(listCalls).Get())
}
