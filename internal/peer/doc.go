// Package peer speaks to the system's own processes over gRPC.
package peer
