// Package member keeps what a process knows of tickets, instances and crashes, and spreads it among the processes.
//
// Lock order: a Member's mutex comes before those of its Book, roster and evidence, which are never held together.
package member
