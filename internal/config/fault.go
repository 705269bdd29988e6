package config

import (
	"fmt"
	"strings"
)

// Fault is one value that the settings refuse.
type Fault struct {
	Source  string // file, environment variable or flag that gave the value
	Field   string // path of one-word names, such as timing.ttl
	Value   string // the value as given, or its absence
	Allowed string // what the field takes
}

// InvalidError lists every fault of the settings.
type InvalidError struct {
	Faults []Fault
}

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String names source, field, value and the allowed range.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: got %s, allowed %s", f.Source, f.Field, f.Value, f.Allowed)
}
