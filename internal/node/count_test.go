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

func TestCountCalls(t *testing.T) {
	m := telemetry.NewMetrics()
	down := errors.New("down")
	r := countCalls(&platform.Reader{
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
	l, invalid, err := r.Instances(t.Context(), 0)
	assert.NoError(t, err)
	assert.Equal(t, uint64(7), l.Version)
	assert.Len(t, invalid, 1)
	for _, kind := range []string{kindTickets, kindWatch, kindSnapshot, kindList} {
		assert.Equal(t, uint64(1), m.PlatformCalls.Get(kind).Get(), kind)
	}
	assert.Equal(t, uint64(1), m.PlatformFailures.Get(kindSnapshot).Get())
	assert.Equal(t, uint64(0), m.PlatformFailures.Get(kindList).Get())
	assert.Equal(t, uint64(1), m.MalformedInputs.Get(kindList).Get())
}
