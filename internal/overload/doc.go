// Package overload decides which requests start, wait or are rejected while a service lacks capacity, from what the entries
// tell each other of their demand. Its functions are pure: time, reports and random draws go in, decisions come out.
package overload
