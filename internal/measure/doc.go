// Package measure defines the rows that measurements print and fits lines through measured values.
package measure
