// Package ticket holds the change tickets of the operators: their shape, validity and fold.
package ticket
