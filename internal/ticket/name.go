package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// sortedNames returns the names of objects in the same order on all processes.
func sortedNames[T any](objects map[string]*T) []string {
	return slices.Sorted(maps.Keys(objects))
}

// checkName rejects names that are empty, too long, or contain anything but letters, digits and . _ - @.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid(field, "must have a name of 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	for _, r := range name {
		if !nameRune(r) {
			return invalid(field, "must be named by letters, digits and . _ - @, not "+strconv.QuoteToASCII(name))
		}
	}
	return nil
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("._-@", r)
}

func checkNames(field string, names []string, maxCount int) error {
	if len(names) > maxCount {
		return invalid(field, "must have at most "+strconv.Itoa(maxCount)+" entries")
	}
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if err := checkName(field, name); err != nil {
			return err
		}
		if seen[name] {
			return invalid(field, "names "+name+" twice")
		}
		seen[name] = true
	}
	return nil
}

func checkEnum(field, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return invalid(field, "must be one of "+strconv.Quote(strings.Join(allowed, ", ")))
}
