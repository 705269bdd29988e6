package expert

import (
	"cmp"
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

// Settings configures a planner.
type Settings struct {
	Decays           []float64  // fractions of its weight that a report loses per step, slowest first
	HorizonSteps     int        // steps within which a gain must pay for its moves
	StepTime         clock.Span // duration in ms of a step with balanced ranks
	StallFactor      float64    // step time lost per unit of loading time
	MinLayerGain     float64    // least reduction of a layer's skew by one plan
	MinMoveGain      float64    // least product of the number of ranks and the reduction of a layer's skew by one move
	TargetMargin     float64    // skew above the lower bound at which the search stops
	MaxLoadTime      clock.Span // longest time in ms to load one plan at the store's rate, 0 for no limit
	MaxAddedPerLayer int        // experts that one plan may add per rank and layer, 0 for no limit
	MaxAddedPerRank  int        // experts that one plan may add per rank over all layers, 0 for no limit
	FirstPlaceholder int        // lowest expert number that stands for a free slot, 0 for none
	MinSigma         float64    // least noise threshold in standard deviations of the busiest rank's load, 0 to ignore noise
	MaxRegimes       int        // demand regimes that are remembered and planned for, 0 to plan for the present demand only
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Decays:       []float64{1.0 / 64, 1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2},
		HorizonSteps: 200,
		StepTime:     50 * clock.Millisecond,
		StallFactor:  0.01,
		MinLayerGain: 0.02,
		MinMoveGain:  0.004,
		TargetMargin: 0.005,
		MinSigma:     3.5,
	}
}

// PacedSettings returns the settings for a group that loads the next map before it uses it: small plans of the changes with the
// highest gain, because the throughput of the weight store is the bottleneck.
func PacedSettings() Settings {
	s := DefaultSettings()
	s.MaxLoadTime = 300 * clock.Millisecond
	s.MinMoveGain = 0.03
	return s
}

// reportWindow is the number of steps behind the newest one within which a late report still counts.
const reportWindow = 64

// Limits on the moves of one plan, which bound its search time; the plan for the next report continues from the resulting map.
const (
	maxSearchMoves = 800 // divided evenly among the imbalanced layers
	minLayerMoves  = 12  // minimum limit of one layer, unless the limit of the whole plan is lower
)

// Plan is a planner's result for one report.
type Plan struct {
	Unchanged bool
	Map       Map      // next map, owned by the planner; nil if Unchanged is set
	Changes   []Change // changes that lead to Map, the layer with the highest gain per move first; every prefix also gives a valid map
	Moves     []Move   // all moves from the previous map to Map
	Gain      float64  // expected reduction of the mean skew over all layers
}

// Planner computes the next map from the reports so far.
type Planner struct {
	settings   Settings
	shape      Shape
	current    Map
	estimates  []*estimate
	regimes    regimeSet // empty unless Settings.MaxRegimes is set
	newestStep uint64
	seenSteps  [reportWindow]uint64 // step number plus one, by step modulo reportWindow
	started    bool
}

// NewPlanner returns a planner whose first map is RoundRobin of the first report's shape.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s}
}

// Adopt replaces the planner's current map by m, as after another planner's switch or an aborted one.
func (p *Planner) Adopt(m Map) (err error) {
	if p.started {
		if err := p.check(m); err != nil {
			return err
		}
	}
	p.current = m.Clone()
	return nil
}

// SetMaxRegimes changes Settings.MaxRegimes; the regimes that are known so far stay remembered.
func (p *Planner) SetMaxRegimes(limit int) {
	p.settings.MaxRegimes = limit
}

// Regimes returns the number of remembered regimes.
func (p *Planner) Regimes() int {
	return len(p.regimes.known)
}

// ForgetRegimes drops the remembered regimes, as after a restart of the group.
func (p *Planner) ForgetRegimes() {
	p.regimes = regimeSet{}
}

// Next adds a report and returns the plan that follows from all reports so far, which is unchanged if the report is not the
// newest. It returns a FieldError for an invalid report.
func (p *Planner) Next(r Report) (plan Plan, err error) {
	newest, err := p.addReport(r)
	if err != nil || !newest {
		return Plan{Unchanged: true}, err
	}
	return p.plan(r), nil
}

// Observe adds a report without planning, as during a switch; it returns a FieldError for an invalid report.
func (p *Planner) Observe(r Report) (err error) {
	_, err = p.addReport(r)
	return err
}

// addReport checks and adds a report and returns whether it is the newest.
func (p *Planner) addReport(r Report) (newest bool, err error) {
	if err := r.Check(); err != nil {
		return false, err
	}
	if !p.started {
		if err := p.initialize(r); err != nil {
			return false, err
		}
	}
	if r.Shape() != p.shape {
		return false, &FieldError{Field: p.changedField(r.Shape()), Reason: "changed since the first report"}
	}
	return p.updateEstimates(r), nil
}

func (p *Planner) initialize(r Report) error {
	p.shape = r.Shape()
	if p.current == nil {
		p.current = RoundRobin(p.shape)
	}
	if err := p.check(p.current); err != nil {
		return err
	}
	p.started = true
	p.newestStep = r.Step
	p.estimates = make([]*estimate, p.shape.Layers)
	for l := range p.estimates {
		p.estimates[l] = newEstimate(p.settings.Decays, p.shape.Experts)
	}
	return nil
}

// check returns a FieldError if m is not valid. A placeholder needs no slot, since layers have different numbers of free slots.
func (p *Planner) check(m Map) error {
	if p.settings.FirstPlaceholder > 0 {
		return m.checkPlaced(p.shape, min(p.settings.FirstPlaceholder, p.shape.Experts))
	}
	return m.Check(p.shape)
}

func (p *Planner) changedField(s Shape) string {
	switch {
	case s.Ranks != p.shape.Ranks:
		return "ranks"
	case s.Slots != p.shape.Slots:
		return "slots"
	}
	return "layers"
}

// updateEstimates adds a report to the estimates and reports whether it is the newest.
func (p *Planner) updateEstimates(r Report) bool {
	index := r.Step % reportWindow
	switch {
	case p.seenSteps[index] == r.Step+1:
		return false
	case r.Step < p.newestStep && p.newestStep-r.Step >= reportWindow:
		return false
	}
	p.seenSteps[index] = r.Step + 1
	if r.Step < p.newestStep {
		for l, e := range p.estimates {
			e.addLate(r.Layers[l], p.newestStep-r.Step)
		}
		return false
	}
	for l, e := range p.estimates {
		e.add(r.Layers[l], r.Step-p.newestStep)
	}
	if p.settings.MaxRegimes > 0 {
		p.regimes.add(r.Layers, r.Step-p.newestStep, p.settings.MaxRegimes)
	}
	p.newestStep = r.Step
	return true
}

func (p *Planner) plan(r Report) Plan {
	imbalances := p.imbalances()
	maxMoves := p.maxMoves(r)
	var layers [][]Change
	for _, imb := range imbalances {
		layerMoves := min(maxMoves, max(minLayerMoves, maxSearchMoves/len(imbalances)))
		if changes := p.improveLayer(imb, p.minGainPerMove(r), layerMoves); len(changes) > 0 {
			layers = append(layers, changes)
		}
	}
	if len(layers) == 0 {
		return Plan{Unchanged: true}
	}
	if p.settings.MaxAddedPerRank > 0 {
		layers = p.limitPerRank(layers, p.minGainPerMove(r))
	}
	plan := Plan{Map: p.current.Clone(), Changes: mergeByGain(layers, maxMoves)}
	if len(plan.Changes) == 0 {
		return Plan{Unchanged: true}
	}
	for _, c := range plan.Changes {
		plan.Gain += c.Gain / float64(p.shape.Layers)
		c.apply(plan.Map)
	}
	plan.Moves = Moves(p.current, plan.Map)
	p.current = plan.Map
	return plan
}

// maxMoves returns the maximum number of moves of one plan.
func (p *Planner) maxMoves(r Report) int {
	if p.settings.MaxLoadTime == 0 {
		return math.MaxInt
	}
	return max(2, int(float64(p.settings.MaxLoadTime)/float64(clock.Second)/r.loadSeconds()))
}

func (c Change) apply(m Map) {
	for _, move := range c.Moves {
		m[move.Layer][move.Rank][move.Slot] = move.Expert
	}
}

// profitablePrefix returns the prefix of the changes with the highest gain after subtracting minGainPerMove for each move,
// and the total gain of that prefix.
func profitablePrefix(changes []Change, minGainPerMove float64) ([]Change, float64) {
	best, length, net, gain, kept := 0.0, 0, 0.0, 0.0, 0.0
	for i, c := range changes {
		gain += c.Gain
		net += c.Gain - minGainPerMove*float64(len(c.Moves))
		if net > best {
			best, length, kept = net, i+1, gain
		}
	}
	return changes[:length], kept
}

// mergeByGain concatenates the changes of several layers, those with the highest gain per move first, keeps the
// order within a layer, and omits layers that would exceed maxMoves.
func mergeByGain(layers [][]Change, maxMoves int) []Change {
	slices.SortStableFunc(layers, func(a, b []Change) int {
		return -cmp.Compare(gainPerMove(a), gainPerMove(b))
	})
	var all []Change
	total := 0
	for _, changes := range layers {
		_, moves := totals(changes)
		if total+moves > maxMoves {
			continue
		}
		total += moves
		all = append(all, changes...)
	}
	return all
}

// limitPerRank truncates the changes of each layer where a rank would get more than MaxAddedPerRank experts. Layers take
// turns change by change, so that none uses up the limit alone.
func (p *Planner) limitPerRank(layers [][]Change, minGainPerMove float64) (cut [][]Change) {
	slices.SortStableFunc(layers, func(a, b []Change) int { return -cmp.Compare(gainPerMove(a), gainPerMove(b)) })
	added := make([]int, p.shape.Ranks)
	kept := make([]int, len(layers))
	exhausted := make([]bool, len(layers))
	for progress := true; progress; {
		progress = false
		for i, changes := range layers {
			if exhausted[i] || kept[i] == len(changes) {
				continue
			}
			if !p.reserve(added, changes[kept[i]]) {
				exhausted[i] = true
				continue
			}
			kept[i]++
			progress = true
		}
	}
	for i, changes := range layers {
		if trimmed, gain := profitablePrefix(changes[:kept[i]], minGainPerMove); gain > 0 {
			cut = append(cut, trimmed)
		}
	}
	return cut
}

// reserve adds the experts of the change to the counts per rank, or returns false if a rank would exceed its limit.
func (p *Planner) reserve(added []int, c Change) bool {
	for i, m := range c.Moves {
		if p.isPlaceholder(m.Expert) {
			continue
		}
		if added[m.Rank] >= p.settings.MaxAddedPerRank {
			for _, reserved := range c.Moves[:i] {
				if !p.isPlaceholder(reserved.Expert) {
					added[reserved.Rank]--
				}
			}
			return false
		}
		added[m.Rank]++
	}
	return true
}

// isPlaceholder reports whether the expert stands for a free slot.
func (p *Planner) isPlaceholder(expert int) bool {
	return p.settings.FirstPlaceholder > 0 && expert >= p.settings.FirstPlaceholder
}

func gainPerMove(changes []Change) float64 {
	gain, moves := totals(changes)
	return gain / float64(moves)
}

func totals(changes []Change) (gain float64, moves int) {
	for _, c := range changes {
		gain += c.Gain
		moves += len(c.Moves)
	}
	return gain, moves
}
