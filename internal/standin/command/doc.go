// Package command is the command line of the stand-ins.
package command
