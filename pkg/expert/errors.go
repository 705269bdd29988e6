package expert

import "fmt"

// FieldError reports an invalid field of a report or map.
type FieldError struct {
	Field  string
	Reason string
}

// Error formats the field and the reason.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

// LineError reports an invalid field on a line of the input.
type LineError struct {
	Line   int // from 1
	Field  string
	Reason string
}

// Error formats the line, the field and the reason.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}
