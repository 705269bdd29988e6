package outage

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaypick/internal/measure"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

const (
	normal  = 0.6  // part of the capacity in normal service
	closing = 0.95 // part of the capacity at the closing hour
	remains = 4.0 / 6
	p95     = 95
	quick   = 100 // ms within which a refusal should come
	longest = 60_000
)

// phaseNames are parts of the rows' names.
var phaseNames = [phases]string{"before", "out", "back"}

// Rows measures a zone's absence at normal load and at the closing hour.
func Rows() (rows []measure.Row, err error) {
	for _, load := range []struct {
		name string
		part float64
	}{{"normal", normal}, {"closing", closing}} {
		r, err := simulate(load.part)
		if err != nil {
			return rows, err
		}
		rows = append(rows, r.rows("zone."+load.name, load.part)...)
	}
	return rows, nil
}

func (r result) rows(prefix string, part float64) (rows []measure.Row) {
	rows = append(rows,
		measure.AtMost(prefix+".out.last", float64(r.last), "ms", float64(settleSpan)),
		measure.AtMost(prefix+".fallen", float64(r.peak), "engines", 0))
	first := r.first(before, -1)
	for phase := before; phase < phases; phase++ {
		name := prefix + "." + phaseNames[phase]
		rows = append(rows, r.served(name, phase, part))
		rows = append(rows, measure.AtMost(name+".p95", r.first(phase, -1)/first, "of before", 1.25))
		rows = append(rows, measure.NoTarget(name+".first", r.first(phase, -1), "ms at p95"))
		rows = append(rows, measure.AtMost(name+".refusal.p95", r.refusal(phase), "ms", quick))
		for i, t := range teams {
			rows = append(rows, measure.NoTarget(name+".served."+t.name, r.part(phase, i), "of calls"))
		}
	}
	for reason, count := range r.reasons() {
		rows = append(rows, measure.NoTarget(prefix+".reason."+reason, float64(count), "calls"))
	}
	return rows
}

// served compares the whole answers of a phase with the load, or with what the rest can bear.
func (r result) served(name string, phase int, part float64) measure.Row {
	value := r.part(phase, -1)
	if phase == out && part > remains {
		return measure.AtLeast(name+".served", value*part/remains, "of what the rest can bear", 0.95)
	}
	return measure.AtLeast(name+".served", value, "of calls", 1)
}

// part returns the whole answers as a part of a team's calls, of all teams where team is below 0.
func (r result) part(phase, team int) float64 {
	calls, whole := 0, 0
	for _, s := range r.samples {
		if s.phase != phase || (team >= 0 && s.team != team) {
			continue
		}
		calls++
		if s.outcome == standin.Whole {
			whole++
		}
	}
	return float64(whole) / float64(max(calls, 1))
}

// first returns the p95 of the time to the first event in ms.
func (r result) first(phase, team int) float64 {
	return r.quantile(func(s sample) (clock.Span, bool) {
		return s.first, s.phase == phase && s.outcome == standin.Whole && (team < 0 || s.team == team)
	})
}

// refusal returns the p95 of the time to a refusal in ms.
func (r result) refusal(phase int) float64 {
	return r.quantile(func(s sample) (clock.Span, bool) {
		return s.all, s.phase == phase && s.outcome == standin.NotRun
	})
}

func (r result) quantile(value func(sample) (clock.Span, bool)) float64 {
	h := hdrhistogram.New(1, longest, 3)
	for _, s := range r.samples {
		if span, ok := value(s); ok {
			_ = h.RecordValue(int64(max(span, 1)))
		}
	}
	return float64(h.ValueAtQuantile(p95))
}

// reasons counts the calls without a whole answer by outcome and reason.
func (r result) reasons() map[string]int {
	counts := make(map[string]int)
	for _, s := range r.samples {
		if s.outcome != standin.Whole && s.phase < phases {
			counts[fmt.Sprintf("%s.%s.%s", phaseNames[s.phase], s.outcome, s.reason)]++
		}
	}
	return counts
}
