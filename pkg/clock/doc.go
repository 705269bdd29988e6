// Package clock provides a replaceable monotonic clock with millisecond resolution.
package clock
