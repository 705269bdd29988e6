package measure

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted by least squares.
type Line struct {
	Base  float64 // value at size 0
	Slope float64 // value added by each unit of size
	Error float64 // largest deviation of a measured value from the line, as a part of that value
}

// Fit returns the line through the values measured at the sizes.
func Fit(sizes, values []float64) Line {
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	line := Line{Base: base, Slope: slope}
	for i, size := range sizes {
		if values[i] != 0 {
			line.Error = max(line.Error, math.Abs(line.At(size)-values[i])/math.Abs(values[i]))
		}
	}
	return line
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}
