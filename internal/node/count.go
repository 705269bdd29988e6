package node

import (
	"context"

	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// Values of the kind label for calls to the platform.
const (
	kindTickets  = "tickets"
	kindWatch    = "watch" // long poll for tickets
	kindSnapshot = "snapshot"
	kindList     = "list"
)

// countCalls returns a reader that wraps r and counts calls, failed calls and malformed instances by kind.
func countCalls(r *platform.Reader, m *telemetry.Metrics) *platform.Reader {
	count := func(kind string, err error) {
		m.PlatformCalls.Get(kind).Inc()
		if err != nil {
			m.PlatformFailures.Get(kind).Inc()
		}
	}
	c := *r
	c.Tickets = func(ctx context.Context, after uint64, wait clock.Span) (tickets [][]byte, err error) {
		tickets, err = r.Tickets(ctx, after, wait)
		kind := kindTickets
		if wait > 0 {
			kind = kindWatch
		}
		count(kind, err)
		return tickets, err
	}
	c.Snapshot = func(ctx context.Context) (snapshot []byte, err error) {
		snapshot, err = r.Snapshot(ctx)
		count(kindSnapshot, err)
		return snapshot, err
	}
	c.Instances = func(ctx context.Context, version uint64) (l platform.List, invalid []error, err error) {
		l, invalid, err = r.Instances(ctx, version)
		count(kindList, err)
		m.MalformedInputs.Get(kindList).Add(len(invalid))
		return l, invalid, err
	}
	return &c
}
