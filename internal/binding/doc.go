// Package binding ensures that a request that may not be repeated runs at most once.
//
// A binding names the only agent incarnation that may run a request id.
// The agent's table remembers every request id for longer than the lifetime of its binding.
package binding
