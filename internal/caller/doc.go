// Package caller serves callers: it returns the entries that they should use, routes their calls to backend servers,
// and returns either a complete answer or a failure that states whether the call may have run.
//
// Lock order: no lock is held while another one is acquired or anything is sent.
package caller
