package clock

import "time"

// Time is a moment in milliseconds since the clock's own start.
type Time int64

// Span is a length of time in milliseconds.
type Span int64

// Units of Span in milliseconds.
const (
	Millisecond Span = 1
	Second      Span = 1000
	Minute      Span = 60 * Second
	Hour        Span = 60 * Minute
)

// Clock tells the time in milliseconds by its Now function, which tests replace.
type Clock struct {
	Now func() Time
}

// New returns a monotonic clock that starts at zero milliseconds.
func New() Clock {
	start := time.Now()
	return Clock{Now: func() Time { return Time(time.Since(start).Milliseconds()) }}
}

// Fixed returns a clock that reads the moment held in now, in milliseconds.
func Fixed(now *Time) Clock {
	return Clock{Now: func() Time { return *now }}
}

// Wall returns the date as milliseconds since the Unix epoch, for logs and traces only.
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

// Duration converts d to the standard library's type.
func (d Span) Duration() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// Since returns the milliseconds that have passed from t to the clock's present moment.
func (c Clock) Since(t Time) Span {
	return c.Now().Sub(t)
}
