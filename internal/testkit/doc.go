// Package testkit provides helpers for property tests with a fixed seed.
package testkit
