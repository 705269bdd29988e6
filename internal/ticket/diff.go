package ticket

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// FieldDiff is one field that differs between two states.
type FieldDiff struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"` // empty if the object is added or removed
	From  string `json:"from"`  // JSON, empty if added
	To    string `json:"to"`    // JSON, empty if removed
}

// String returns the difference in the form shown to operators.
func (d FieldDiff) String() string {
	place := d.Kind + "." + d.Name
	if d.Field != "" {
		place += "." + d.Field
	}
	switch {
	case d.From == "":
		return "+ " + place + " " + d.To
	case d.To == "":
		return "- " + place + " " + d.From
	}
	return "~ " + place + " " + d.From + " -> " + d.To
}

// Render returns one line of text for each difference.
func Render(diffs []FieldDiff) string {
	var b strings.Builder
	for _, d := range diffs {
		b.WriteString(d.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Diff returns the differences between two states, by kind, name and field.
func Diff(from, to *State) (diffs []FieldDiff) {
	diffs = diffKind(diffs, "teams", from.Objects.Teams, to.Objects.Teams)
	diffs = diffKind(diffs, "zones", from.Objects.Zones, to.Objects.Zones)
	diffs = diffKind(diffs, "services", from.Objects.Services, to.Objects.Services)
	diffs = diffKind(diffs, "models", from.Objects.Models, to.Objects.Models)
	diffs = diffKind(diffs, "backends", from.Objects.Backends, to.Objects.Backends)
	return diffKind(diffs, "groups", from.Objects.Groups, to.Objects.Groups)
}

// DiffTicket returns the differences that a ticket would make to a state, or an InvalidError.
func DiffTicket(s *State, t Ticket) (diffs []FieldDiff, err error) {
	next, err := s.with(t)
	if err != nil {
		return nil, err
	}
	return Diff(s, next), nil
}

func diffKind[T any](diffs []FieldDiff, kind string, from, to map[string]*T) []FieldDiff {
	names := make(map[string]bool, len(from)+len(to))
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		diffs = diffObject(diffs, kind, name, encodeObject(from[name]), encodeObject(to[name]))
	}
	return diffs
}

func encodeObject[T any](o *T) []byte {
	if o == nil {
		return nil
	}
	content, err := json.Marshal(o)
	if err != nil {
		return nil
	}
	return content
}

func diffObject(diffs []FieldDiff, kind, name string, from, to []byte) []FieldDiff {
	if bytes.Equal(from, to) {
		return diffs
	}
	if from == nil || to == nil {
		return append(diffs, FieldDiff{Kind: kind, Name: name, From: string(from), To: string(to)})
	}
	before, after := decodeFields(from), decodeFields(to)
	for _, field := range slices.Sorted(maps.Keys(after)) {
		if !bytes.Equal(before[field], after[field]) {
			d := FieldDiff{Kind: kind, Name: name, Field: field, From: string(before[field]), To: string(after[field])}
			diffs = append(diffs, d)
		}
	}
	return diffs
}

func decodeFields(content []byte) (fields map[string]json.RawMessage) {
	if err := json.Unmarshal(content, &fields); err != nil {
		return nil
	}
	return fields
}
