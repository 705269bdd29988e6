// Package command implements the command line of the stand-ins.
package command
