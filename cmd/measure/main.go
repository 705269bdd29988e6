// Command measure runs the measurements named as arguments, or all, and prints their rows.
package main

import (
	"fmt"
	"os"
	"slices"

	"carawaypick/internal/balancesim"
	"carawaypick/internal/capacity"
	"carawaypick/internal/clustersim"
	"carawaypick/internal/latency"
	"carawaypick/internal/measure"
	"carawaypick/internal/outage"
	"carawaypick/internal/skew"
)

// plotFolder is where plots are written.
const plotFolder = ".out"

// measurements returns the functions that run the measurements, by name.
func measurements() map[string]func() ([]measure.Row, error) {
	return map[string]func() ([]measure.Row, error){
		"capacity": capacity.Rows,
		"zone":     outage.Rows,
		"choice":   balancesim.Rows,
		"spread":   clustersim.Rows,
		"path":     latency.Rows,
		"skew":     func() ([]measure.Row, error) { return skew.Rows(plotFolder) },
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run prints the named measurements, or all if none is named, and returns the exit code: 0, 1 for a failure or 2 for wrong usage.
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
			fmt.Fprintf(os.Stderr, "unknown measurement %q\n", name)
			return 2
		}
		if err := writeRows(rows); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return 1
		}
	}
	return 0
}

func writeRows(rows func() ([]measure.Row, error)) error {
	result, err := rows()
	if err != nil {
		return err
	}
	return measure.Write(os.Stdout, result)
}
