package expert

import "fmt"

// ShapeError says which field of a report or map is impossible, and why.
type ShapeError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *ShapeError) Error() string {
	return e.Field + ": " + e.Reason
}

// LineError says which line and field of the input is refused, and why.
type LineError struct {
	Line   int // from 1
	Field  string
	Reason string
}

// Error returns the line, the field and the reason.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}
