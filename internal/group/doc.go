// Package group runs the agent's side of an expert map switch by votes of the ranks, over gRPC.
package group
