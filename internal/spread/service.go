package spread

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

// Fleet returns a list of live agents spread evenly over zones.
func Fleet(version uint64, count, zones int) *platform.List {
	l := &platform.List{Version: version}
	for n := range count {
		l.Instances = append(l.Instances, platform.Instance{
			Name:    fmt.Sprintf("agent-%d", n),
			Role:    platform.AgentRole,
			Peer:    fmt.Sprintf("127.%d.%d.%d:7001", n/62500, n/250%250, n%250+1),
			Zone:    fmt.Sprintf("zone-%d", n%zones),
			Region:  fmt.Sprintf("region-%d", n%zones*2/zones),
			Service: "check",
			State:   platform.Live,
		})
	}
	return l
}

// Service is the platform as readers see it, with one view of the tickets for each replica.
type Service struct {
	List     *platform.List
	Replicas []map[ticket.Number][]byte
	Snapshot []byte       // empty where there is none
	Down     bool         // whether nobody can reach it
	Away     map[int]bool // members that can't reach it
	Calls    int          // calls made, answered or not
}

// Publish puts a ticket at all replicas but the stale ones.
func (s *Service) Publish(n ticket.Number, content []byte, stale ...int) {
	for r := range s.Replicas {
		if !slices.Contains(stale, r) {
			s.Replicas[r][n] = content
		}
	}
}

var errDown = errors.New("the platform is down")

// call counts one call of a member and tells whether it is answered.
func (s *Service) call(member int) error {
	s.Calls++
	if s.Down || s.Away[member] {
		return errDown
	}
	return nil
}

// reader returns one member's Reader at one replica, whose watches return at once.
func (s *Service) reader(member, replica int) *platform.Reader {
	return &platform.Reader{
		Tickets: func(_ context.Context, after uint64, _ clock.Span) ([][]byte, error) {
			return s.tickets(replica, ticket.Number(after)), s.call(member)
		},
		Snapshot: func(context.Context) ([]byte, error) {
			return s.Snapshot, s.call(member)
		},
		Instances: func(_ context.Context, version uint64) (platform.List, []error, error) {
			if err := s.call(member); err != nil || version >= s.List.Version {
				return platform.List{}, nil, err
			}
			return *s.List, nil, nil
		},
	}
}

func (s *Service) tickets(replica int, after ticket.Number) (contents [][]byte) {
	for _, n := range slices.Sorted(maps.Keys(s.Replicas[replica])) {
		if n > after {
			contents = append(contents, s.Replicas[replica][n])
		}
	}
	return contents
}
