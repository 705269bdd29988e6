package skew

import (
	"slices"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Parameters of a shift run, which follow the coordinator of internal/engine.
const (
	tick              = 10 * clock.Millisecond
	reportInterval    = 100 * clock.Millisecond
	minSwitchDelay    = 200 * clock.Millisecond
	maxSwitchDelay    = 250 * clock.Millisecond
	peakWindow        = 500 * clock.Millisecond // after a shift
	minPlanGain       = 0.3
	gainGrowth        = 1.25
	maxDeferrals      = 1
	warmupShifts      = 12 // first shifts of a run, which do not count
	expertBytesAtLink = 370 << 20
	linkBytesPerSec   = 180000 << 20 / 8
)

// ShiftResult is the skew of one run.
type ShiftResult struct {
	Mean     float64   // over time
	Peaks    []float64 // highest skew within peakWindow of each shift, ascending
	Switches int
}

// MeanPeak returns the mean of the peaks.
func (r ShiftResult) MeanPeak() float64 {
	sum := 0.0
	for _, p := range r.Peaks {
		sum += p
	}
	return sum / float64(len(r.Peaks))
}

// ControllerSettings returns the planner's settings that internal/engine uses for one report per reportInterval.
func ControllerSettings(s expert.Shape) expert.Settings {
	p := expert.DefaultSettings()
	p.Decays = []float64{0.3, 0.6}
	p.StepTime = reportInterval
	p.HorizonSteps = int(4 * clock.Second / reportInterval)
	p.MinLayerGain = 0.2
	p.MinMoveGain = 0.3
	p.MaxAddedPerLayer = 2
	p.MaxAddedPerRank = max(2, s.Layers/2)
	p.FirstPlaceholder = s.Experts
	return p
}

// shiftRun is a group with one planner, whose switches take time.
type shiftRun struct {
	workload   *TopicWorkload
	policy     ShiftPolicy
	planner    *expert.Planner
	current    expert.Map // padded
	next       expert.Map // padded; nil unless a switch is in progress
	switchAt   clock.Time
	step       uint64
	counts     [][]int64
	undrawn    clock.Span // time since the last draw
	deferred   float64
	deferrals  int
	needsAdopt bool
}

// ShiftPolicy is a way to choose the maps of a shift run.
type ShiftPolicy struct {
	Name     string
	Settings expert.Settings
	Exact    bool // reports have the exact shares of the present mix
	Fixed    bool // one map for the long-run mean is used throughout
}

// ShiftPolicies returns the policies to compare.
func ShiftPolicies(s expert.Shape) []ShiftPolicy {
	settings := ControllerSettings(s)
	regimes := settings
	regimes.MaxRegimes = 12
	return []ShiftPolicy{
		{Name: "planner", Settings: settings},
		{Name: "exact", Settings: settings, Exact: true},
		{Name: "long-run mean", Settings: settings, Fixed: true},
		{Name: "regimes", Settings: regimes},
	}
}

// RunShifts simulates the given number of shifts under the policy.
func RunShifts(s expert.Shape, policy ShiftPolicy, shifts int, seed uint64) (result ShiftResult, err error) {
	w := NewTopicWorkload(s, seed)
	first := expert.RoundRobin(expert.Shape{Ranks: s.Ranks, Slots: (s.Experts + s.Ranks - 1) / s.Ranks, Experts: s.Experts, Layers: s.Layers})
	padded, _ := expert.PadFreeSlots(first, s.Experts, s.Slots)
	r := &shiftRun{workload: w, policy: policy, planner: expert.NewPlanner(policy.Settings), current: padded, needsAdopt: true}
	if policy.Fixed {
		for l, usual := range w.UsualShares() {
			r.current[l] = Replan(s, usual)
		}
	}
	shares, skew, peak, sum, samples := w.Shares(), 0.0, 0.0, 0.0, 0
	stale := true
	for now := clock.Time(0); now < clock.Time(shifts)*clock.Time(shiftInterval); now = now.Add(tick) {
		shift := int(now / clock.Time(shiftInterval))
		sinceShift := now.Sub(clock.Time(shift) * clock.Time(shiftInterval))
		if sinceShift == 0 && now > 0 {
			r.draw()
			w.Shift()
			shares, peak, stale = w.Shares(), 0, true
		}
		if r.next != nil && now >= r.switchAt {
			r.current, r.next, r.needsAdopt, stale = r.next, nil, true, true
			result.Switches++
		}
		if stale {
			skew, stale = sharesSkew(r.current, shares, s.Experts), false
		}
		if shift >= warmupShifts {
			sum += skew
			samples++
			peak = max(peak, skew)
			if sinceShift == peakWindow {
				result.Peaks = append(result.Peaks, peak)
			}
		}
		if err := r.tick(now); err != nil {
			return result, err
		}
	}
	result.Mean = sum / float64(samples)
	slices.Sort(result.Peaks)
	return result, nil
}

// sharesSkew returns the mean skew over layers of a padded map.
func sharesSkew(m expert.Map, shares [][]float64, experts int) float64 {
	sum := 0.0
	for l, ranks := range expert.StripFreeSlots(m, experts) {
		sum += expert.LayerSkew(ranks, shares[l])
	}
	return sum / float64(len(shares))
}

// tick draws the counts of a tick and passes them to the planner when a report is due and no switch is in progress.
func (r *shiftRun) tick(now clock.Time) (err error) {
	r.undrawn += tick
	if r.policy.Fixed || r.next != nil || (now+40)%clock.Time(reportInterval) != 0 {
		return nil
	}
	r.draw()
	if r.needsAdopt {
		if err := r.planner.Adopt(r.current); err != nil {
			return err
		}
	}
	plan, err := r.planner.Next(r.report())
	if err != nil || plan.Unchanged {
		return err
	}
	r.needsAdopt = true
	if plan.Gain < minPlanGain || r.shouldDefer(plan.Gain) {
		return nil
	}
	r.next = plan.Map
	delay := float64(minSwitchDelay) + float64(maxSwitchDelay-minSwitchDelay)*r.workload.random.Float64()
	r.switchAt = now.Add(clock.Span(delay))
	return nil
}

// draw adds the counts of the time since the last draw.
func (r *shiftRun) draw() {
	if r.undrawn == 0 {
		return
	}
	if r.policy.Exact {
		r.counts = r.workload.exactCounts()
		r.undrawn = 0
		return
	}
	drawn := r.workload.Draw(float64(r.undrawn) / float64(reportInterval))
	r.undrawn = 0
	if r.counts == nil {
		r.counts = drawn
		return
	}
	for l, layer := range drawn {
		for e, count := range layer {
			r.counts[l][e] += count
		}
	}
}

func (r *shiftRun) report() expert.Report {
	r.step++
	s := r.workload.Shape
	experts := 0
	for _, ranks := range r.current {
		for _, slots := range ranks {
			experts = max(experts, slices.Max(slots)+1)
		}
	}
	padding := max(experts, s.Experts+s.Slots) - s.Experts
	report := expert.Report{Step: r.step, Ranks: s.Ranks, Slots: s.Slots, ExpertBytes: expertBytesAtLink, BytesPerSecond: linkBytesPerSec}
	for _, layer := range r.counts {
		report.Layers = append(report.Layers, append(layer, make([]int64, padding)...))
	}
	r.counts = nil
	return report
}

func (r *shiftRun) shouldDefer(gain float64) bool {
	growing := gain > gainGrowth*r.deferred && r.deferrals < maxDeferrals
	r.deferred, r.deferrals = gain, r.deferrals+1
	if !growing {
		r.deferred, r.deferrals = 0, 0
	}
	return growing
}
