// Package binding keeps requests that may not be repeated to one run.
//
// A binding names the agent incarnation that alone may run an identifier.
// The agent's table remembers every identifier for longer than its binding lives.
package binding
