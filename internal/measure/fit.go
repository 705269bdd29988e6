package measure

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept float64 // value at size 0
	Slope     float64 // value added by each unit of size
	MaxError  float64 // largest relative deviation of a measured value from the line
}

// Fit returns the least-squares line through the values measured at the sizes.
func Fit(sizes, values []float64) Line {
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	line := Line{Intercept: base, Slope: slope}
	for i, size := range sizes {
		if values[i] != 0 {
			line.MaxError = max(line.MaxError, math.Abs(line.At(size)-values[i])/math.Abs(values[i]))
		}
	}
	return line
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}
