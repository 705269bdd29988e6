// Command measure prints the rows of the named measurements.
package main

import (
	"fmt"
	"os"
	"slices"

	"carawaypick/internal/capacity"
	"carawaypick/internal/choice"
	"carawaypick/internal/latency"
	"carawaypick/internal/measure"
	"carawaypick/internal/outage"
	"carawaypick/internal/skew"
	"carawaypick/internal/spread"
)

// folder takes the plots.
const folder = ".out"

// measurements returns the rows of each measurement by its name.
func measurements() map[string]func() ([]measure.Row, error) {
	return map[string]func() ([]measure.Row, error){
		"capacity": capacity.Rows,
		"zone":     outage.Rows,
		"choice":   choice.Rows,
		"spread":   spread.Rows,
		"path":     latency.Rows,
		"skew":     func() ([]measure.Row, error) { return skew.Rows(folder) },
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run prints the named measurements, all where none is named: 0 done, 1 failed, 2 wrong usage.
func run(names []string) int {
	known := measurements()
	if len(names) == 0 {
		for name := range known {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	for _, name := range names {
		rows, ok := known[name]
		if !ok {
			fmt.Fprintf(os.Stderr, "no measurement %q\n", name)
			return 2
		}
		if err := write(rows); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return 1
		}
	}
	return 0
}

func write(rows func() ([]measure.Row, error)) error {
	found, err := rows()
	if err != nil {
		return err
	}
	return measure.Write(os.Stdout, found)
}
