// Package balance decides where requests are sent, when they run and when they are rejected.
//
// All decisions depend only on the arguments, which include the current time.
// The types of this package are not safe for concurrent use.
package balance
