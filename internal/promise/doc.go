// Package promise contains end-to-end tests that run real processes and inject faults.
package promise
