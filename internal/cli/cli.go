package cli

import (
	"fmt"
	"io"
)

// Run executes the command in args and returns the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "usage: carawaypick COMMAND")
		return 2
	}
	fmt.Fprintln(stdout, args[0])
	return 0
}
