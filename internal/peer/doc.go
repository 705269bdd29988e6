// Package peer provides gRPC connections between the system's own processes.
package peer
