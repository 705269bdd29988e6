package clock

import "time"

// Stopwatch starts a stopwatch and returns a function that returns the elapsed time with nanosecond resolution; tests can't
// replace it, so it is for measurements only.
func Stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
