// Package measure holds the rows that measurements print and the fit of a line through them.
package measure
