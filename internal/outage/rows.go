package outage

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

const (
	normalLoad        = 0.6     // load as a fraction of capacity, in normal service
	peakLoad          = 0.95    // load as a fraction of capacity, at the busiest hour
	remainingCapacity = 4.0 / 6 // without the evacuated zone, as a fraction of full capacity
	percentile        = 95      // of the times in printed rows
	maxRejectionMs    = 100     // target for the time to a rejection
	maxTimeMs         = 60_000  // upper end of the histograms of times
)

// phaseNames are the names of the phases in printed rows.
var phaseNames = [phaseCount]string{"before", "out", "back"}

// Rows measures the evacuation of a zone at normal load and at peak load.
func Rows() (rows []measure.Row, err error) {
	for _, load := range []struct {
		name      string
		loadShare float64
	}{{"normal", normalLoad}, {"closing", peakLoad}} {
		r, err := measureOutage(load.loadShare)
		if err != nil {
			return rows, err
		}
		rows = append(rows, r.rows("zone."+load.name, load.loadShare)...)
	}
	return rows, nil
}

func (r result) rows(prefix string, loadShare float64) (rows []measure.Row) {
	rows = append(rows,
		measure.AtMost(prefix+".out.last", float64(r.lastZoneRequest), "ms", float64(settleSpan)),
		measure.AtMost(prefix+".fallen", float64(r.overloadCrashes), "engines", 0))
	baseline := r.firstEventP95(phaseBefore, -1)
	for phase := phaseBefore; phase < phaseCount; phase++ {
		name := prefix + "." + phaseNames[phase]
		rows = append(rows, r.servedRow(name, phase, loadShare))
		rows = append(rows, measure.AtMost(name+".p95", r.firstEventP95(phase, -1)/baseline, "of before", 1.25))
		rows = append(rows, measure.NoTarget(name+".first", r.firstEventP95(phase, -1), "ms at p95"))
		rows = append(rows, measure.AtMost(name+".refusal.p95", r.rejectionP95(phase), "ms", maxRejectionMs))
		for i, t := range teams {
			rows = append(rows, measure.NoTarget(name+".served."+t.name, r.completedShare(phase, i), "of calls"))
		}
	}
	for reason, count := range r.failures() {
		rows = append(rows, measure.NoTarget(prefix+".reason."+reason, float64(count), "calls"))
	}
	return rows
}

// servedRow compares the completed calls of a phase with those sent, or with the remaining capacity where that is less.
func (r result) servedRow(name string, phase int, loadShare float64) measure.Row {
	value := r.completedShare(phase, -1)
	if phase == phaseOut && loadShare > remainingCapacity {
		return measure.AtLeast(name+".served", value*loadShare/remainingCapacity, "of what the rest can bear", 0.95)
	}
	return measure.AtLeast(name+".served", value, "of calls", 1)
}

// completedShare returns the share of a team's calls in a phase that completed; a negative team stands for all teams.
func (r result) completedShare(phase, team int) float64 {
	calls, completed := 0, 0
	for _, s := range r.samples {
		if s.phase != phase || (team >= 0 && s.team != team) {
			continue
		}
		calls++
		if s.outcome == standin.Complete {
			completed++
		}
	}
	return float64(completed) / float64(max(calls, 1))
}

// firstEventP95 returns the 95th percentile in ms of the time to the first event of a team's completed calls in a phase; a
// negative team stands for all teams.
func (r result) firstEventP95(phase, team int) float64 {
	return r.p95(func(s sample) (clock.Span, bool) {
		return s.timeToFirstEvent, s.phase == phase && s.outcome == standin.Complete && (team < 0 || s.team == team)
	})
}

// rejectionP95 returns the 95th percentile in ms of the time to a rejection in a phase.
func (r result) rejectionP95(phase int) float64 {
	return r.p95(func(s sample) (clock.Span, bool) {
		return s.duration, s.phase == phase && s.outcome == standin.NotRun
	})
}

func (r result) p95(value func(sample) (clock.Span, bool)) float64 {
	h := hdrhistogram.New(1, maxTimeMs, 3)
	for _, s := range r.samples {
		if span, ok := value(s); ok {
			_ = h.RecordValue(int64(max(span, 1)))
		}
	}
	return float64(h.ValueAtQuantile(percentile))
}

// failures counts the calls that didn't complete by phase, outcome and reason.
func (r result) failures() map[string]int {
	counts := make(map[string]int)
	for _, s := range r.samples {
		if s.outcome != standin.Complete && s.phase < phaseCount {
			counts[fmt.Sprintf("%s.%s.%s", phaseNames[s.phase], s.outcome, s.reason)]++
		}
	}
	return counts
}
