// Package balance decides where requests are sent, when they run and when they are rejected.
//
// Decisions depend only on the arguments, which include the current time, and on the state from earlier calls.
// Limits that hold for all entries together are divided by ServerRate in whole requests, so that the parts of any number of
// entries add up to them, also while their views of each other differ.
//
// The types of this package are not safe for concurrent use.
package balance
