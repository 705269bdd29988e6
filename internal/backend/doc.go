// Package backend speaks to one backend server and enforces every rule on the work that reaches it.
//
// Lock order: Agent.mu, then binding.Table's own lock; nothing is sent while either is held.
package backend
