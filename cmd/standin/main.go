// Command standin runs stand-ins for the systems that carawaypick depends on.
package main

import (
	"os"

	"carawaypick/internal/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
