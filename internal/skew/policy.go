package skew

import (
	"math"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Names of the policies in printed rows and plots.
const (
	Static          = "never"    // keeps the initial map
	FullReplan      = "full"     // computes a new map from scratch after each step
	PreviousPlanner = "previous" // baseline planner with the same search, but a single decay and no noise estimate
	Planner         = "planner"  // plans with the default settings
	PacedPlanner    = "paced"    // plans in batches whose maps take effect once their experts are loaded
)

// Policy is a named placement policy; Next returns the map to use after the report and the number of expert loads started.
type Policy struct {
	Name string
	Next func(expert.Report) (m expert.Map, loads int, err error)
}

// NewPolicy returns the policy of the given name for a group of shape s.
func NewPolicy(name string, s expert.Shape) Policy {
	switch name {
	case Static:
		return staticPolicy(s)
	case FullReplan:
		return fullReplanPolicy(s)
	case PreviousPlanner:
		return plannerPolicy(name, s, expert.Settings{
			Decays:       []float64{1.0 / 8},
			HorizonSteps: expert.DefaultSettings().HorizonSteps,
			StepTime:     expert.DefaultSettings().StepTime,
			StallFactor:  expert.DefaultSettings().StallFactor,
			MinLayerGain: 0.02,
			MinMoveGain:  0.012,
			TargetMargin: 0.005,
		})
	case PacedPlanner:
		return pacedPolicy(s)
	}
	return plannerPolicy(name, s, expert.DefaultSettings())
}

// pacedPolicy plans only while no load is in progress, as internal/group does.
func pacedPolicy(s expert.Shape) Policy {
	settings := expert.PacedSettings()
	planner := expert.NewPlanner(settings)
	current := expert.RoundRobin(s)
	loading := current
	stepsLeft := 0
	return Policy{Name: PacedPlanner, Next: func(r expert.Report) (expert.Map, int, error) {
		if stepsLeft > 0 {
			stepsLeft--
			if stepsLeft == 0 {
				current = loading
			}
			return current, 0, planner.Observe(r)
		}
		plan, err := planner.Next(r)
		if err != nil || plan.Unchanged {
			return current, 0, err
		}
		loading = plan.Map
		loadTime := float64(len(plan.Moves)) * expertBytes / storeBytesPerSecond * float64(clock.Second)
		stepsLeft = int(math.Ceil(loadTime / float64(settings.StepTime)))
		return current, len(plan.Moves), nil
	}}
}

func staticPolicy(s expert.Shape) Policy {
	m := expert.RoundRobin(s)
	return Policy{Name: Static, Next: func(expert.Report) (expert.Map, int, error) { return m, 0, nil }}
}

func fullReplanPolicy(s expert.Shape) Policy {
	current := expert.RoundRobin(s)
	return Policy{Name: FullReplan, Next: func(r expert.Report) (expert.Map, int, error) {
		next := make(expert.Map, s.Layers)
		for l := range next {
			next[l] = Replan(s, expert.Shares(r.Layers[l]))
		}
		loads := len(expert.Moves(current, next))
		current = next
		return next, loads, nil
	}}
}

func plannerPolicy(name string, s expert.Shape, settings expert.Settings) Policy {
	current := expert.RoundRobin(s)
	planner := expert.NewPlanner(settings)
	return Policy{Name: name, Next: func(r expert.Report) (expert.Map, int, error) {
		plan, err := planner.Next(r)
		if err != nil || plan.Unchanged {
			return current, 0, err
		}
		current = plan.Map
		return current, len(plan.Moves), nil
	}}
}
