// Package telemetry writes the logs, metrics and trace spans of a process.
package telemetry
