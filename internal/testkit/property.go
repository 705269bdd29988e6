package testkit

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed makes every run draw the same cases unless RAPID_SEED says otherwise.
const defaultSeed = "1"

// Property checks a rapid property with the seed in RAPID_SEED and the number of cases in RAPID_CHECKS.
func Property(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", "RAPID_SEED", defaultSeed)
	set(t, "rapid.checks", "RAPID_CHECKS", "")
	set(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, check)
}

func set(t *testing.T, name, variable, value string) {
	t.Helper()
	if v := os.Getenv(variable); variable != "" && v != "" {
		value = v
	}
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}
