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

// Sizes of a plot.
const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch
	top    = 2.0 // skew at the upper edge
)

// draw writes the skew over time of the first seed, a line for each policy, as SVG.
func (t trial) draw(folder string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "draw %s", t.kind)
		}
	}()
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d ranks", t.kind, t.shape.Ranks)
	p.X.Label.Text = "step"
	p.Y.Label.Text = "busiest rank over mean"
	for i, name := range names() {
		line, err := plotter.NewLine(points(t.traces[0][i].Skews))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min, p.Y.Max = 1, top
	p.Legend.Top = true
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return p.Save(width, height, filepath.Join(folder, fmt.Sprintf("skew-%s-%d.svg", t.kind, t.shape.Ranks)))
}

func points(skews []float64) plotter.XYs {
	xys := make(plotter.XYs, len(skews))
	for i, s := range skews {
		xys[i] = plotter.XY{X: float64(i), Y: min(s, top)}
	}
	return xys
}
