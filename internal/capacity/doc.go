// Package capacity measures how memory, processor time and messages of each role grow with size, on one machine.
package capacity
