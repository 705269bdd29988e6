package clustersim

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// NewInstanceList returns an instance list of live agents, spread evenly over zones in at most two regions.
func NewInstanceList(version uint64, count, zones int) *platform.List {
	l := &platform.List{Version: version}
	for n := range count {
		l.Instances = append(l.Instances, platform.Instance{
			Name:    fmt.Sprintf("agent-%d", n),
			Role:    platform.AgentRole,
			Peer:    fmt.Sprintf("127.%d.%d.%d:7001", n/62500, n/250%250, n%250+1),
			Zone:    fmt.Sprintf("zone-%d", n%zones),
			Region:  fmt.Sprintf("region-%d", n%zones*2/zones),
			Service: "check",
			State:   platform.StateLive,
		})
	}
	return l
}

// Platform simulates the platform's services; each replica of the configuration service has its own copy of the tickets.
type Platform struct {
	List        *platform.List
	Replicas    []map[ticket.Number][]byte
	Snapshot    []byte       // empty for none
	Down        bool         // unreachable for all members
	Unreachable map[int]bool // members that can't reach the platform
	Calls       int          // calls by all members, including failed ones
}

// Publish stores a ticket at all replicas except the stale ones.
func (p *Platform) Publish(n ticket.Number, content []byte, stale ...int) {
	for r := range p.Replicas {
		if !slices.Contains(stale, r) {
			p.Replicas[r][n] = content
		}
	}
}

var errDown = errors.New("platform is unreachable")

// countCall counts one call by a member and returns an error if the member can't reach the platform.
func (p *Platform) countCall(member int) error {
	p.Calls++
	if p.Down || p.Unreachable[member] {
		return errDown
	}
	return nil
}

// newReader returns a member's Reader of one replica; it returns tickets at once without waiting for new ones.
func (p *Platform) newReader(member, replica int) *platform.Reader {
	return &platform.Reader{
		Tickets: func(_ context.Context, after uint64, _ clock.Span) ([][]byte, error) {
			return p.ticketsAfter(replica, ticket.Number(after)), p.countCall(member)
		},
		Snapshot: func(context.Context) ([]byte, error) {
			return p.Snapshot, p.countCall(member)
		},
		Instances: func(_ context.Context, version uint64) (platform.List, []error, error) {
			if err := p.countCall(member); err != nil || version >= p.List.Version {
				return platform.List{}, nil, err
			}
			return *p.List, nil, nil
		},
	}
}

func (p *Platform) ticketsAfter(replica int, after ticket.Number) (contents [][]byte) {
	for _, n := range slices.Sorted(maps.Keys(p.Replicas[replica])) {
		if n > after {
			contents = append(contents, p.Replicas[replica][n])
		}
	}
	return contents
}
