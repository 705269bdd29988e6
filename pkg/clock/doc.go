// Package clock gives the time in milliseconds.
package clock
