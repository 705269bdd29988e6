package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	teamRateHalfLife = 2 * clock.Second // time with a backlog after which an observation counts for half
	minBacklogTime   = clock.Second     // minimum time with a backlog before the rate is known
)

// teamRate measures the tokens that a team is served while it has a backlog.
//
// The rate reflects the load of the other teams, whether or not they have a backlog themselves.
type teamRate struct {
	updatedAt  clock.Time
	backlogged bool
	backlogMs  float64
	tokens     float64
}

// advance accounts for the time up to now; backlogged reports whether the team has waiting jobs from now on.
func (r *teamRate) advance(now clock.Time, backlogged bool) {
	elapsed := float64(now.Sub(r.updatedAt))
	if r.backlogged && elapsed > 0 {
		decay := math.Exp2(-elapsed / float64(teamRateHalfLife))
		r.backlogMs = r.backlogMs*decay + elapsed
		r.tokens *= decay
	}
	r.updatedAt = now
	r.backlogged = backlogged
}

// record counts a job that was popped; backlogged reports whether the team still has waiting jobs.
func (r *teamRate) record(now clock.Time, tokens uint32, backlogged bool) {
	r.advance(now, backlogged)
	r.tokens += float64(tokens)
}

// timeToServe returns the ms in which the team is served the given tokens; ok is false if the rate is unknown.
func (r *teamRate) timeToServe(tokens uint64) (wait clock.Span, ok bool) {
	if r.backlogMs < float64(minBacklogTime) || r.tokens < 1 {
		return 0, false
	}
	return clock.Span(float64(tokens) * r.backlogMs / r.tokens), true
}
