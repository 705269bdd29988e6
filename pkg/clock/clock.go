package clock

import "time"

// Time is a moment in milliseconds since the start of its clock.
type Time int64

// Span is a duration in milliseconds.
type Span int64

// Units of Span in milliseconds.
const (
	Millisecond Span = 1
	Second      Span = 1000
	Minute      Span = 60 * Second
	Hour        Span = 60 * Minute
)

// Clock returns the time through its Now function, which tests replace.
type Clock struct {
	Now func() Time
}

// New returns a monotonic clock that starts at zero.
func New() Clock {
	start := time.Now()
	return Clock{Now: func() Time { return Time(time.Since(start).Milliseconds()) }}
}

// Manual returns a clock that returns *now, which the caller advances.
func Manual(now *Time) Clock {
	return Clock{Now: func() Time { return *now }}
}

// Wall returns the wall-clock time in milliseconds since the Unix epoch.
func Wall() int64 {
	return time.Now().UnixMilli()
}

// Add returns the moment d milliseconds after t.
func (t Time) Add(d Span) Time {
	return t + Time(d)
}

// Sub returns the milliseconds from u to t.
func (t Time) Sub(u Time) Span {
	return Span(t - u)
}

// Duration converts d to a time.Duration.
func (d Span) Duration() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// Since returns the milliseconds from t to now.
func (c Clock) Since(t Time) Span {
	return c.Now().Sub(t)
}

// Deadline returns the moment d milliseconds from now, for deadlines of connections.
func Deadline(d Span) time.Time {
	return time.Now().Add(d.Duration())
}
