package clock

import "time"

// Watch starts a stopwatch and returns a function that tells the time passed since, in nanoseconds, for measurements only.
func Watch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
