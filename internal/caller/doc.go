// Package caller serves callers: it returns the entries that they should use, routes their calls to backend servers,
// and returns either a complete answer or a failure that states whether the call may have run.
//
// Lock order: AgentTracker.mu and ring locks are leaves; nothing is sent while one is held.
package caller
