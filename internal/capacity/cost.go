package capacity

import (
	"fmt"
	"runtime"
	"syscall"

	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// batchSpan is the least time that one figure is taken over.
const batchSpan = 200 * clock.Millisecond

const (
	nanoseconds = 1e6 // in a millisecond
	kilobyte    = 1e3
)

// each returns the nanoseconds that one run of op takes.
func each(op func(n int)) float64 {
	c := clock.New()
	runs := 0
	for batch := 1; ; batch *= 2 {
		start := c.Now()
		for range batch {
			op(runs)
			runs++
		}
		if passed := c.Since(start); passed >= batchSpan {
			return float64(passed) * nanoseconds / float64(batch)
		}
	}
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// held returns the bytes that what build returns occupies.
func held(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// processor returns the nanoseconds of processor time that this process has used.
func processor() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// slope measures at each size and returns a row for each and for the fitted line.
func slope(name, unit, per string, sizes []int, at func(size int) float64) []measure.Row {
	var rows []measure.Row
	var x, y []float64
	for _, size := range sizes {
		value := at(size)
		x = append(x, float64(size))
		y = append(y, value)
		rows = append(rows, measure.NoTarget(fmt.Sprintf("%s.%d", name, size), value, unit))
	}
	line := measure.Fit(x, y)
	return append(rows,
		measure.NoTarget(name+".slope", line.Slope, unit+" each "+per),
		measure.NoTarget(name+".base", line.Intercept, unit),
		measure.NoTarget(name+".error", line.MaxError, "part of the value"))
}
