package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Verdicts of a row, as printed.
const (
	Met       = "met"
	Missed    = "missed"
	NoVerdict = "-" // the row has no target
)

// Row is one measured figure.
type Row struct {
	Name    string
	Value   float64
	Unit    string
	Target  string // as printed, such as "<= 2", or NoVerdict
	Verdict string // Met, Missed or NoVerdict
}

// NoTarget returns a row without target and verdict.
func NoTarget(name string, value float64, unit string) Row {
	return Row{Name: name, Value: value, Unit: unit, Target: NoVerdict, Verdict: NoVerdict}
}

// AtMost returns a row whose value meets its target if it isn't above it.
func AtMost(name string, value float64, unit string, target float64) Row {
	return newTargetRow(name, value, unit, fmt.Sprintf("<= %g", target), value <= target)
}

// AtLeast returns a row whose value meets its target if it isn't below it.
func AtLeast(name string, value float64, unit string, target float64) Row {
	return newTargetRow(name, value, unit, fmt.Sprintf(">= %g", target), value >= target)
}

func newTargetRow(name string, value float64, unit, target string, met bool) Row {
	verdict := Missed
	if met {
		verdict = Met
	}
	return Row{Name: name, Value: value, Unit: unit, Target: target, Verdict: verdict}
}

// Write prints rows as aligned columns: name, value, unit, target, verdict.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\n", r.Name, r.Value, r.Unit, r.Target, r.Verdict)
	}
	return t.Flush()
}
