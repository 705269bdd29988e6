// Command standin runs the stand-ins of carawaypick's surroundings.
package main

import (
	"os"

	"carawaypick/internal/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
