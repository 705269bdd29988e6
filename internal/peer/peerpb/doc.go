// Package peerpb holds the generated messages of the protocol between the system's own processes.
package peerpb
