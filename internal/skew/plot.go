package skew

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth   = 9 * vg.Inch
	plotHeight  = 4 * vg.Inch
	maxPlotSkew = 2.0 // upper end of the y axis
)

// writePlot writes an SVG plot of the first seed's skew over time, with a line for each policy.
func (t trial) writePlot(folder string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "write plot of %s", t.kind)
		}
	}()
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d ranks", t.kind, t.shape.Ranks)
	p.X.Label.Text = "step"
	p.Y.Label.Text = "busiest rank over mean"
	for i, name := range policyNames() {
		line, err := plotter.NewLine(plotPoints(t.traces[0][i].Skews))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min, p.Y.Max = 1, maxPlotSkew
	p.Legend.Top = true
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, fmt.Sprintf("skew-%s-%d.svg", t.kind, t.shape.Ranks)))
}

func plotPoints(skews []float64) plotter.XYs {
	xys := make(plotter.XYs, len(skews))
	for i, s := range skews {
		xys[i] = plotter.XY{X: float64(i), Y: min(s, maxPlotSkew)}
	}
	return xys
}
