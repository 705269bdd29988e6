package config

import (
	"fmt"
	"strings"
)

// FieldViolation describes one invalid value in the settings.
type FieldViolation struct {
	Source  string // file, environment variable or flag that set the value; "default", or the role whose settings are checked
	Field   string // path of one-word names, such as timing.ttl
	Value   string // the value, Hidden if secret, or a description of what is wrong
	Allowed string // description of the allowed values
}

// InvalidError lists every violation in the settings.
type InvalidError struct {
	Violations []FieldViolation
}

// Error returns one line for each violation.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, f := range e.Violations {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the source, field, value and allowed values.
func (f FieldViolation) String() string {
	return fmt.Sprintf("%s: %s: got %s, allowed %s", f.Source, f.Field, f.Value, f.Allowed)
}
