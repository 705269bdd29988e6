// Package cli reads the command line and starts the process that it names.
package cli
