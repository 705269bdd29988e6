package skew

import (
	"math"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Names of the policies.
const (
	Never    = "never"    // the first map for ever
	Full     = "full"     // a new map from nothing after each step
	Previous = "previous" // the first version: one decay and no estimate of noise, with the present search
	Planner  = "planner"  // the planner as it is
	Paced    = "paced"    // the planner with maps that take effect once they are loaded, in batches
)

// Policy names a way of choosing the next map; Next returns the map after the report and the loads that lead to it.
type Policy struct {
	Name string
	Next func(expert.Report) (m expert.Map, loads int, err error)
}

// NewPolicy returns the named policy for a group of the shape.
func NewPolicy(name string, s expert.Shape) Policy {
	switch name {
	case Never:
		return never(s)
	case Full:
		return full(s)
	case Previous:
		return planned(name, s, expert.Settings{
			Decays:  []float64{1.0 / 8},
			Horizon: expert.Defaults().Horizon,
			Step:    expert.Defaults().Step,
			Stall:   expert.Defaults().Stall,
			Trigger: 0.02,
			Least:   0.012,
			Goal:    0.005,
		})
	case Paced:
		return paced(s)
	}
	return planned(name, s, expert.Defaults())
}

// paced plans only while nothing is being loaded, as internal/group does.
func paced(s expert.Shape) Policy {
	settings := expert.Paced()
	planner := expert.NewPlanner(settings)
	now := expert.RoundRobin(s)
	next := now
	wait := 0
	return Policy{Name: Paced, Next: func(r expert.Report) (expert.Map, int, error) {
		if wait > 0 {
			wait--
			if wait == 0 {
				now = next
			}
			return now, 0, planner.Observe(r)
		}
		plan, err := planner.Next(r)
		if err != nil || plan.Stay {
			return now, 0, err
		}
		next = plan.Map
		load := float64(len(plan.Moves)) * weight / rate * float64(clock.Second)
		wait = int(math.Ceil(load / float64(settings.Step)))
		return now, len(plan.Moves), nil
	}}
}

func never(s expert.Shape) Policy {
	m := expert.RoundRobin(s)
	return Policy{Name: Never, Next: func(expert.Report) (expert.Map, int, error) { return m, 0, nil }}
}

func full(s expert.Shape) Policy {
	now := expert.RoundRobin(s)
	return Policy{Name: Full, Next: func(r expert.Report) (expert.Map, int, error) {
		next := make(expert.Map, s.Layers)
		for l := range next {
			next[l] = Replan(s, expert.Shares(r.Layers[l]))
		}
		loads := len(expert.Moves(now, next))
		now = next
		return next, loads, nil
	}}
}

func planned(name string, s expert.Shape, settings expert.Settings) Policy {
	now := expert.RoundRobin(s)
	planner := expert.NewPlanner(settings)
	return Policy{Name: name, Next: func(r expert.Report) (expert.Map, int, error) {
		plan, err := planner.Next(r)
		if err != nil || plan.Stay {
			return now, 0, err
		}
		now = plan.Map
		return now, len(plan.Moves), nil
	}}
}
