package expert

import (
	"cmp"
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
	Batch   clock.Span // ms that the loads of one plan may take at the store's rate, 0 for no limit
	Spare   int        // experts that one plan may add to a rank and layer, 0 for no limit
	Each    int        // experts that one plan may add to a rank over all layers, 0 for no limit
	Free    int        // number from which experts stand for free slots, 0 for none
	Sigma   float64    // least standard deviations of the busiest rank's load that a change must exceed, 0 for no estimate of noise
}

// Defaults returns the settings that the measurements were made with.
func Defaults() Settings {
	return Settings{
		Decays:  []float64{1.0 / 64, 1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2},
		Horizon: 200,
		Step:    50 * clock.Millisecond,
		Stall:   0.01,
		Trigger: 0.02,
		Least:   0.004,
		Goal:    0.005,
		Sigma:   3.5,
	}
}

// Paced returns the settings for a group whose next map must be loaded before it is used: small plans
// of the changes that gain most, because the store's rate is what is scarce.
func Paced() Settings {
	s := Defaults()
	s.Batch = 300 * clock.Millisecond
	s.Least = 0.03
	return s
}

// window is the number of steps back from the newest within which a late line still counts.
const window = 64

// Bounds of the search in one plan, which keep its time bounded; the next line carries on.
const (
	changes = 800 // over all layers
	fewest  = 12  // in each layer
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
	if p.started {
		if err := m.Check(p.shape); err != nil {
			return err
		}
	}
	p.current = m.Clone()
	return nil
}

// Next takes one report and returns the plan that follows from all reports so far, or a ShapeError.
func (p *Planner) Next(r Report) (plan Plan, err error) {
	newest, err := p.take(r)
	if err != nil || !newest {
		return Plan{Stay: true}, err
	}
	return p.plan(r), nil
}

// Observe takes one report without planning, as while a switch is under way; it returns a ShapeError.
func (p *Planner) Observe(r Report) (err error) {
	_, err = p.take(r)
	return err
}

// take adds a report and says whether it is the newest.
func (p *Planner) take(r Report) (newest bool, err error) {
	if err := r.Check(); err != nil {
		return false, err
	}
	if !p.started {
		if err := p.start(r); err != nil {
			return false, err
		}
	}
	if r.Shape() != p.shape {
		return false, &ShapeError{Field: p.changed(r.Shape()), Reason: "changed since the first report"}
	}
	return p.observe(r), nil
}

func (p *Planner) start(r Report) error {
	p.shape = r.Shape()
	if p.current == nil {
		p.current = RoundRobin(p.shape)
	}
	if err := p.current.Check(p.shape); err != nil {
		return err
	}
	p.started = true
	p.newest = r.Step
	p.estimates = make([]*estimate, p.shape.Layers)
	for l := range p.estimates {
		p.estimates[l] = newEstimate(p.settings.Decays, p.shape.Experts)
	}
	return nil
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
	tasks := p.tasks()
	limit := p.limit(r)
	var parts [][]Stage
	for _, t := range tasks {
		loads := min(limit, max(fewest, changes/len(tasks)))
		if stages := p.improveLayer(t, p.price(r), loads); len(stages) > 0 {
			parts = append(parts, stages)
		}
	}
	if len(parts) == 0 {
		return Plan{Stay: true}
	}
	if p.settings.Each > 0 {
		parts = p.inTurn(parts, p.price(r))
	}
	plan := Plan{Map: p.current.Clone(), Stages: byGain(parts, limit)}
	if len(plan.Stages) == 0 {
		return Plan{Stay: true}
	}
	for _, s := range plan.Stages {
		plan.Gain += s.Gain / float64(p.shape.Layers)
		s.apply(plan.Map)
	}
	plan.Moves = Moves(p.current, plan.Map)
	p.current = plan.Map
	return plan
}

// limit returns the most loads that one plan may make.
func (p *Planner) limit(r Report) int {
	if p.settings.Batch == 0 {
		return math.MaxInt
	}
	return max(2, int(float64(p.settings.Batch)/float64(clock.Second)/r.load()))
}

func (s Stage) apply(m Map) {
	for _, move := range s.Moves {
		m[move.Layer][move.Rank][move.Slot] = move.Expert
	}
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

// byGain merges the stages of several layers, best gain for each load first, each layer's in their order,
// and leaves the layers out that would pass the limit.
func byGain(parts [][]Stage, limit int) []Stage {
	slices.SortStableFunc(parts, func(a, b []Stage) int {
		return -cmp.Compare(rateOf(a), rateOf(b))
	})
	var all []Stage
	total := 0
	for _, stages := range parts {
		_, loads := sum(stages)
		if total+loads > limit {
			continue
		}
		total += loads
		all = append(all, stages...)
	}
	return all
}

// inTurn cuts the stages of each layer where a rank would get more than Each experts; layers take turns by stages, so
// that none uses up what the others need.
func (p *Planner) inTurn(parts [][]Stage, price float64) (cut [][]Stage) {
	slices.SortStableFunc(parts, func(a, b []Stage) int { return -cmp.Compare(rateOf(a), rateOf(b)) })
	added := make([]int, p.shape.Ranks)
	kept := make([]int, len(parts))
	closed := make([]bool, len(parts))
	for open := true; open; {
		open = false
		for i, stages := range parts {
			if closed[i] || kept[i] == len(stages) {
				continue
			}
			if !p.fits(added, stages[kept[i]]) {
				closed[i] = true
				continue
			}
			kept[i]++
			open = true
		}
	}
	for i, stages := range parts {
		if left, gain := worth(stages[:kept[i]], price); gain > 0 {
			cut = append(cut, left)
		}
	}
	return cut
}

// fits counts the experts that the stage adds to each rank, unless one would get too many.
func (p *Planner) fits(added []int, s Stage) bool {
	for i, m := range s.Moves {
		if p.free(m.Expert) {
			continue
		}
		if added[m.Rank] >= p.settings.Each {
			for _, before := range s.Moves[:i] {
				if !p.free(before.Expert) {
					added[before.Rank]--
				}
			}
			return false
		}
		added[m.Rank]++
	}
	return true
}

// free tells whether the expert stands for a free slot.
func (p *Planner) free(expert int) bool {
	return p.settings.Free > 0 && expert >= p.settings.Free
}

func rateOf(stages []Stage) float64 {
	gain, loads := sum(stages)
	return gain / float64(loads)
}

func sum(stages []Stage) (gain float64, loads int) {
	for _, s := range stages {
		gain += s.Gain
		loads += len(s.Moves)
	}
	return gain, loads
}
