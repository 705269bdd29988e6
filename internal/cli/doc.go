// Package cli parses the command line and runs the command that it names.
package cli
