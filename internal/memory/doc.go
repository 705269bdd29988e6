// Package memory owns the memory that one process holds for others: for connections, heads and bodies of requests, answers, and
// messages of other processes.
//
// Bytes are taken from a share before they are kept and given back when they are let go, so a process never holds more than the sum
// of its shares. One share never uses the memory of another: a crowd at one port leaves the others as they were. If a share is full,
// connections are evicted whose clients hold much and send little, see victims.
package memory
