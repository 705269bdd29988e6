// Package balance decides where requests are sent, when they run and when they are rejected.
//
// Decisions depend only on the arguments, which include the current time, and on the state from earlier calls.
// The types of this package are not safe for concurrent use.
package balance
