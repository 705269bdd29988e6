package expert

import (
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

// Settings steer a planner; the zero value of a field stands for its default.
type Settings struct {
	Decays  []float64  // parts of the weight that a line loses with each step, slowest first
	Horizon int        // steps over which a gain must pay for its cost
	Step    clock.Span // ms of a step in which all ranks carry the same
	Stall   float64    // step time lost for each unit of loading time
	Trigger float64    // least skew that a change must take from a layer
	Least   float64    // least skew that each load must take from its layer, times the number of ranks
	Goal    float64    // skew above the bound that a change aims at
	Sigma   float64    // standard deviations of the busiest rank's load that a change must exceed
}

// Defaults returns the settings that the measurements were made with.
func Defaults() Settings {
	return Settings{
		Decays:  []float64{1.0 / 64, 1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2},
		Horizon: 200,
		Step:    50 * clock.Millisecond,
		Stall:   0.01,
		Trigger: 0.01,
		Least:   0.012,
		Goal:    0.005,
		Sigma:   4.5,
	}
}

// window is the number of steps back from the newest within which a late line still counts.
const window = 64

// Bounds of the search in one plan, which keep its time bounded; the next line carries on.
const (
	changes = 1200 // over all layers
	fewest  = 16   // in each layer
)

// Plan is a planner's answer to one line.
type Plan struct {
	Stay   bool
	Map    Map     // the map to use next, owned by the planner; nil where Stay is set
	Stages []Stage // what leads to it, best gain a byte first; each beginning of the list gives a whole map
	Moves  []Move  // all loads from the last map to Map
	Gain   float64 // skew that the step is expected to lose
}

// Planner decides from the counts so far which map comes next.
type Planner struct {
	settings  Settings
	shape     Shape
	current   Map
	estimates []*estimate
	newest    uint64
	seen      [window]uint64 // step numbers by step modulo window, plus one
	started   bool
}

// NewPlanner returns a planner whose first map is RoundRobin of the first report's shape.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s}
}

// Adopt makes m the map in force, where another planner or an aborted switch has decided otherwise.
func (p *Planner) Adopt(m Map) (err error) {
	if err := m.Check(p.shape); err != nil {
		return err
	}
	p.current = m.Clone()
	return nil
}

// Next takes one report and returns the plan that follows from all reports so far, or a ShapeError.
func (p *Planner) Next(r Report) (plan Plan, err error) {
	if err := r.Check(); err != nil {
		return Plan{}, err
	}
	if !p.started {
		p.start(r)
	}
	if r.Shape() != p.shape {
		return Plan{}, &ShapeError{Field: p.changed(r.Shape()), Reason: "changed since the first report"}
	}
	if !p.observe(r) {
		return Plan{Stay: true}, nil
	}
	return p.plan(r), nil
}

func (p *Planner) start(r Report) {
	p.started = true
	p.shape = r.Shape()
	p.current = RoundRobin(p.shape)
	p.newest = r.Step
	p.estimates = make([]*estimate, p.shape.Layers)
	for l := range p.estimates {
		p.estimates[l] = newEstimate(p.settings.Decays, p.shape.Experts)
	}
}

func (p *Planner) changed(s Shape) string {
	switch {
	case s.Ranks != p.shape.Ranks:
		return "ranks"
	case s.Slots != p.shape.Slots:
		return "slots"
	}
	return "layers"
}

// observe adds a report to the estimates and says whether it is the newest.
func (p *Planner) observe(r Report) bool {
	place := r.Step % window
	switch {
	case p.seen[place] == r.Step+1:
		return false
	case r.Step < p.newest && p.newest-r.Step >= window:
		return false
	}
	p.seen[place] = r.Step + 1
	if r.Step < p.newest {
		for l, e := range p.estimates {
			e.late(r.Layers[l], p.newest-r.Step)
		}
		return false
	}
	for l, e := range p.estimates {
		e.add(r.Layers[l], r.Step-p.newest)
	}
	p.newest = r.Step
	return true
}

func (p *Planner) plan(r Report) Plan {
	next := make(Map, p.shape.Layers)
	copy(next, p.current)
	var parts [][]Stage
	tasks := p.tasks()
	for _, t := range tasks {
		l := t.layer
		ranks, stages := p.improveLayer(t, p.price(r), max(fewest, changes/len(tasks)))
		if len(stages) > 0 {
			next[l] = ranks
			parts = append(parts, stages)
		}
	}
	if len(parts) == 0 {
		return Plan{Stay: true}
	}
	plan := Plan{Map: next, Moves: Moves(p.current, next), Stages: byGain(parts)}
	for _, s := range plan.Stages {
		plan.Gain += s.Gain / float64(p.shape.Layers)
	}
	p.current = next
	return plan
}

// task is a layer whose skew is above what noise explains.
type task struct {
	layer  int
	shares []float64
	goal   float64 // skew to reach
	least  float64 // skew that a change must take
}

func (p *Planner) tasks() []task {
	var tasks []task
	for l, e := range p.estimates {
		shares, tokens := e.best()
		if shares == nil {
			continue
		}
		skew := LayerSkew(p.current[l], shares)
		if skew < 1+p.settings.Trigger {
			continue
		}
		noise := p.noise(p.current[l], shares, tokens/e.noise)
		bound := LayerBound(p.shape, shares)
		least := max(p.settings.Trigger, p.settings.Sigma*noise)
		if skew-bound >= least {
			tasks = append(tasks, task{layer: l, shares: shares, goal: bound + max(p.settings.Goal, noise), least: least})
		}
	}
	return tasks
}

// improveLayer returns the layer's next placement and the stages to it, none where staying is better.
func (p *Planner) improveLayer(t task, price float64, loads int) ([][]int, []Stage) {
	now := p.current[t.layer]
	next := newPlacement(t.layer, cloneLayer(now), t.shares)
	stages, gain := worth(next.improve(t.goal, loads), price)
	if gain < t.least {
		return nil, nil
	}
	return replay(now, stages), stages
}

// price returns the skew that one load must take from its layer to pay for itself.
func (p *Planner) price(r Report) float64 {
	lost := r.load() * p.settings.Stall * float64(clock.Second)
	horizon := float64(p.settings.Horizon) * float64(p.settings.Step)
	return max(p.settings.Least/float64(p.shape.Ranks), lost/horizon*float64(p.shape.Layers))
}

// noise returns the standard deviation of the busiest rank's load over the mean load
// if the shares rest on so many independent tokens.
func (p *Planner) noise(ranks [][]int, shares []float64, tokens float64) float64 {
	copies := make([]float64, len(shares))
	for _, slots := range ranks {
		for _, e := range slots {
			copies[e]++
		}
	}
	most, variance := -1.0, 0.0
	for _, slots := range ranks {
		load, sum := 0.0, 0.0
		for _, e := range slots {
			load += shares[e] / copies[e]
			sum += shares[e] / (copies[e] * copies[e])
		}
		if load > most {
			most, variance = load, sum
		}
	}
	return float64(len(ranks)) * math.Sqrt(variance/tokens)
}

// worth cuts the stages where what follows doesn't pay for itself and returns the gain of the rest.
func worth(stages []Stage, price float64) ([]Stage, float64) {
	best, length, net, gain, kept := 0.0, 0, 0.0, 0.0, 0.0
	for i, s := range stages {
		gain += s.Gain
		net += s.Gain - price*float64(len(s.Moves))
		if net > best {
			best, length, kept = net, i+1, gain
		}
	}
	return stages[:length], kept
}

func replay(ranks [][]int, stages []Stage) [][]int {
	next := cloneLayer(ranks)
	for _, s := range stages {
		for _, m := range s.Moves {
			next[m.Rank][m.Slot] = m.Expert
		}
	}
	return next
}

// byGain merges the stages of several layers, best gain for each load first, each layer's in their order.
func byGain(parts [][]Stage) []Stage {
	slices.SortStableFunc(parts, func(a, b []Stage) int {
		return -compare(rateOf(a), rateOf(b))
	})
	return slices.Concat(parts...)
}

func rateOf(stages []Stage) float64 {
	gain, loads := 0.0, 0
	for _, s := range stages {
		gain += s.Gain
		loads += len(s.Moves)
	}
	return gain / float64(loads)
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
