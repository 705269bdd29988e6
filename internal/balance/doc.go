// Package balance decides where requests go, when they run and when they are refused.
//
// Every decision is a function of what its caller passes in, the time included.
// No type in this package may be used by several goroutines at once.
package balance
