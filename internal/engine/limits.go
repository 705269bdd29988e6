package engine

import (
	"net"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
)

// Limits of the shape of a group's expert maps, far above those of any group: an agent allocates memory by them.
const (
	maxSets    = 1 << 10
	maxExperts = 1 << 14 // of one set
	maxCounts  = 1 << 18 // of all sets
)

// check returns an error if an agent can't work with the shape.
func (s Shape) check() error {
	if s.Sets < 0 || s.Sets > maxSets || s.Experts < 0 || s.Experts > maxExperts || s.Sets*s.Experts > maxCounts {
		return errors.Newf("%d sets of %d experts", s.Sets, s.Experts)
	}
	if s.SlotsPerRank < 0 || s.SlotsPerRank > maxExperts || s.MaxAdded < 0 || s.ExpertMB < 0 || s.LinkMbps < 0 {
		return errors.Newf("%d slots per rank, %d added experts of %d MB over %d Mbit/s", s.SlotsPerRank, s.MaxAdded, s.ExpertMB, s.LinkMbps)
	}
	return nil
}

// valid reports whether m can be a rank of a group.
func (m Member) valid() bool {
	host, _, err := net.SplitHostPort(m.Engine)
	return err == nil && net.ParseIP(host) != nil && m.Rank >= 0 && m.Rank < routing.MaxRanks && net.ParseIP(m.IP) != nil
}
