package testkit

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is used if RAPID_SEED is empty, so that every run checks the same cases.
const defaultSeed = "1"

// Property checks a rapid property. The environment variable RAPID_SEED replaces the fixed seed; RAPID_CHECKS replaces rapid's
// default number of cases.
//
// It writes no failure files.
func Property(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", "RAPID_SEED", defaultSeed)
	setFlag(t, "rapid.checks", "RAPID_CHECKS", "")
	setFlag(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, check)
}

// setFlag sets a flag to the value of an environment variable if that is not empty, else to value if that is not empty.
func setFlag(t *testing.T, name, variable, value string) {
	t.Helper()
	if v := os.Getenv(variable); variable != "" && v != "" {
		value = v
	}
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set flag %s: %v", name, err)
	}
}
