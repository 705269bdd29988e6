// Package capacity measures how state, processor time and messages of each role grow, on one machine.
package capacity
