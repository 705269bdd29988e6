package node

import (
	"context"

	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// Kinds of call to the platform, as the metrics name them.
const (
	ticketCalls   = "tickets"
	watchCalls    = "watch"
	snapshotCalls = "snapshot"
	listCalls     = "list"
)

// counted returns a reader that counts calls and their faults by kind.
func counted(r *platform.Reader, m *telemetry.Metrics) *platform.Reader {
	count := func(kind string, err error) {
		m.Platform.Get(kind).Inc()
		if err != nil {
			m.Faults.Get(kind).Inc()
		}
	}
	c := *r
	c.Tickets = func(ctx context.Context, after uint64, wait clock.Span) (tickets [][]byte, err error) {
		tickets, err = r.Tickets(ctx, after, wait)
		kind := ticketCalls
		if wait > 0 {
			kind = watchCalls
		}
		count(kind, err)
		return tickets, err
	}
	c.Snapshot = func(ctx context.Context) (snapshot []byte, err error) {
		snapshot, err = r.Snapshot(ctx)
		count(snapshotCalls, err)
		return snapshot, err
	}
	c.Instances = func(ctx context.Context, version uint64) (l platform.List, faults []error, err error) {
		l, faults, err = r.Instances(ctx, version)
		count(listCalls, err)
		m.Bad.Get(listCalls).Add(len(faults))
		return l, faults, err
	}
	return &c
}
