package balance

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	passFraction        = 0.90                    // fraction of the gap target that a pass may take; the rest is a margin for further prefill
	urgentPassFraction  = 1.00                    // replaces passFraction while waiting requests would otherwise be late
	peakCostHalfLife    = 15 * clock.Second       // time after which a peak of the request cost counts for half
	priorCostFactor     = 3.0                     // assumed multiple of the configured request cost before one is observed
	prefillFraction     = 0.15                    // fraction of the gap target that each pass is assumed to spend on prefill, whatever the load
	minObservedFraction = 0.5                     // fraction of the gap target below which a mean gap is not used to estimate the request cost
	saturatedFraction   = 0.80                    // fraction of the gap target above which no request is started
	maxGapAge           = 300 * clock.Millisecond // age from which a gap no longer describes the present load
	stallFactor         = 2.0                     // multiple of the gap target above which a gap is a stall, not an effect of load
	infeasibleFraction  = 1.0 / 6                 // fraction of the slots below which a limit shows that the target is out of reach; all slots are then used for throughput
	minConcurrency      = 1.0                     // minimum limit in requests per engine
)

// ConcurrencyLimiter limits the concurrent requests of the engines in a lock-step group, so that a pass stays within the target for
// the gap between stream events.
//
// When requests shift to other experts, the cost of every running request rises at once and the passes get longer.
// The limit therefore follows the highest recent cost, not the current one.
type ConcurrencyLimiter struct {
	BasePassMs  float64 // duration of a pass without requests in ms
	PriorCostMs float64 // ms that each request adds to a pass while the ranks are evenly loaded

	GapTarget clock.Span // target for the gap between stream events in ms; 0 for no limit

	peakCost  float64 // highest recent request cost in ms, at peakAt
	peakAt    clock.Time
	lastGap   float64 // last gap between two stream events, in ms
	lastGapAt clock.Time
}

// ObserveMeanGap records the mean gap in ms between stream events while each engine ran the given number of requests in its
// slots. Fewer requests than the least limit tell nothing: their number is known late, which many entries magnify, and the
// cost is what is left of the gap divided by it.
func (l *ConcurrencyLimiter) ObserveMeanGap(now clock.Time, gap, running float64, slots int) {
	if gap > float64(l.GapTarget)*stallFactor {
		return // a held step, a dead rank or a rank that is slow at any load: fewer requests would not help
	}
	if running < max(infeasibleFraction*float64(slots), minConcurrency) || gap < float64(l.GapTarget)*minObservedFraction {
		return
	}
	if cost := (gap - l.fixedTime()) / running; cost > l.RequestCost(now) {
		l.peakCost, l.peakAt = cost, now
	}
}

// ObserveGap records one gap in ms between two stream events. All streams of the engines share the passes, so the gap
// of any one stream shows the current load.
func (l *ConcurrencyLimiter) ObserveGap(now clock.Time, gap clock.Span) {
	l.lastGap, l.lastGapAt = float64(gap), now
}

// Saturated reports whether passes are close to the gap target, so that no further prefill should start.
func (l *ConcurrencyLimiter) Saturated(now clock.Time) bool {
	return l.GapTarget > 0 && l.lastGap > float64(l.GapTarget)*saturatedFraction && l.lastGap <= float64(l.GapTarget)*stallFactor && now.Sub(l.lastGapAt) < maxGapAge
}

// fixedTime returns the part of a pass in ms that does not depend on the number of running requests.
func (l *ConcurrencyLimiter) fixedTime() float64 {
	return l.BasePassMs + float64(l.GapTarget)*prefillFraction
}

// RequestCost returns the ms that a request adds to a pass, from the decayed peak; 0 if none was observed.
func (l *ConcurrencyLimiter) RequestCost(now clock.Time) float64 {
	if l.peakCost == 0 {
		return 0
	}
	return l.peakCost * math.Exp2(-float64(now.Sub(l.peakAt))/float64(peakCostHalfLife))
}

// Limit returns the number of requests, between 1 and slots, that each engine may run if each adds cost ms to a pass;
// urgent gives up the margin for further prefill, because waiting requests would otherwise be late.
func (l *ConcurrencyLimiter) Limit(cost float64, slots int, urgent bool) float64 {
	if l.GapTarget <= 0 {
		return float64(slots)
	}
	if cost <= 0 {
		cost = l.PriorCostMs * priorCostFactor
	}
	if cost = max(cost, l.PriorCostMs); cost <= 0 {
		return float64(slots)
	}
	fraction := passFraction
	if urgent {
		fraction = urgentPassFraction
	}
	limit := (float64(l.GapTarget)*fraction - l.fixedTime()) / cost
	if limit < infeasibleFraction*float64(slots) {
		return float64(slots)
	}
	return min(max(limit, minConcurrency), float64(slots))
}
