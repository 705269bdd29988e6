// Package backend is the agent of one backend server: it admits, queues and runs all requests that reach the server.
//
// Lock order: Agent.mu, then binding.Table's lock. Nothing is sent while either is held.
package backend
