// Package routing holds what operators and backend servers have published, and answers which service a request
// belongs to, whose it is and which backend servers may take it.
//
// A View never changes once it is published, so any number of goroutines may read it.
package routing
