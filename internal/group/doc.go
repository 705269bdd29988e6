// Package group drives the expert map switch of one rank over gRPC.
package group
