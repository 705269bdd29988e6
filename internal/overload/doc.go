// Package overload decides how the entries share insufficient capacity.
package overload
