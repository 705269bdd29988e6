// Package spread runs many members in one process under a manual clock, and measures how calls, bytes and
// delays grow with the fleet.
package spread
