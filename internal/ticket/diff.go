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
func (l FieldDiff) String() string {
	place := l.Kind + "." + l.Name
	if l.Field != "" {
		place += "." + l.Field
	}
	switch {
	case l.From == "":
		return "+ " + place + " " + l.To
	case l.To == "":
		return "- " + place + " " + l.From
	}
	return "~ " + place + " " + l.From + " -> " + l.To
}

// Render returns one line of text for each difference.
func Render(lines []FieldDiff) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Diff returns the differences between two states, by kind, name and field.
func Diff(from, to *State) (lines []FieldDiff) {
	lines = diffKind(lines, "teams", from.Objects.Teams, to.Objects.Teams)
	lines = diffKind(lines, "zones", from.Objects.Zones, to.Objects.Zones)
	lines = diffKind(lines, "services", from.Objects.Services, to.Objects.Services)
	lines = diffKind(lines, "models", from.Objects.Models, to.Objects.Models)
	lines = diffKind(lines, "backends", from.Objects.Backends, to.Objects.Backends)
	return diffKind(lines, "groups", from.Objects.Groups, to.Objects.Groups)
}

// DiffTicket returns the differences that a ticket would make to a state, or an InvalidError.
func DiffTicket(s *State, t Ticket) (lines []FieldDiff, err error) {
	n, err := s.with(t)
	if err != nil {
		return nil, err
	}
	return Diff(s, n), nil
}

func diffKind[T any](lines []FieldDiff, kind string, from, to map[string]*T) []FieldDiff {
	names := make(map[string]bool, len(from)+len(to))
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		lines = diffObject(lines, kind, name, encodeObject(from[name]), encodeObject(to[name]))
	}
	return lines
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

func diffObject(lines []FieldDiff, kind, name string, from, to []byte) []FieldDiff {
	if bytes.Equal(from, to) {
		return lines
	}
	if from == nil || to == nil {
		return append(lines, FieldDiff{Kind: kind, Name: name, From: string(from), To: string(to)})
	}
	before, after := decodeFields(from), decodeFields(to)
	for _, field := range slices.Sorted(maps.Keys(after)) {
		if !bytes.Equal(before[field], after[field]) {
			l := FieldDiff{Kind: kind, Name: name, Field: field, From: string(before[field]), To: string(after[field])}
			lines = append(lines, l)
		}
	}
	return lines
}

func decodeFields(content []byte) (fields map[string]json.RawMessage) {
	if err := json.Unmarshal(content, &fields); err != nil {
		return nil
	}
	return fields
}
