package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// sortedNames returns the names of objects in one order for all processes.
func sortedNames[T any](objects map[string]*T) []string {
	return slices.Sorted(maps.Keys(objects))
}

// checkName refuses names that are empty, long, or hold anything but letters, digits and . _ - @.
func checkName(field, name string) error {
	if name == "" || len(name) > maxName {
		return invalid(field, "must have a name of 1 to "+strconv.Itoa(maxName)+" bytes")
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

func checkNames(field string, names []string, most int) error {
	if len(names) > most {
		return invalid(field, "must have at most "+strconv.Itoa(most)+" entries")
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

func checkWord(field, word string, allowed ...string) error {
	if slices.Contains(allowed, word) {
		return nil
	}
	return invalid(field, "must be one of "+strconv.Quote(strings.Join(allowed, ", ")))
}
