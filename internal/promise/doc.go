// Package promise tests what must always hold with real processes under failure.
package promise
