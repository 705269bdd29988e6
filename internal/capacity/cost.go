package capacity

import (
	"fmt"
	"runtime"
	"syscall"

	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

// minBatchSpan is the minimum duration in ms of the batch of runs over which timePerRun takes the mean.
const minBatchSpan = 200 * clock.Millisecond

const (
	nanosecondsPerMs = 1e6
	nanosecondsPerUs = 1e3
)

// timePerRun returns the mean time in nanoseconds of one call of op, which receives the number of earlier calls.
func timePerRun(op func(n int)) float64 {
	c := clock.New()
	runs := 0
	for batch := 1; ; batch *= 2 {
		start := c.Now()
		for range batch {
			op(runs)
			runs++
		}
		if elapsed := c.Since(start); elapsed >= minBatchSpan {
			return float64(elapsed) * nanosecondsPerMs / float64(batch)
		}
	}
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// retainedBytes returns the bytes of heap that the value returned by build retains.
func retainedBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// cpuTime returns the processor time that this process has used in nanoseconds, 0 if it can't be read.
func cpuTime() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// slopeRows returns a row with the value measured at each size, and rows for the line fitted through these values.
func slopeRows(name, unit, per string, sizes []int, measureAt func(size int) float64) []measure.Row {
	var rows []measure.Row
	var x, y []float64
	for _, size := range sizes {
		value := measureAt(size)
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
