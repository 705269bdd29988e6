// Command carawaypick is a load balancer for expert-parallel model groups.
package main

import (
	"os"

	"carawaypick/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
