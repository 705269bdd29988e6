// Package e2e contains end-to-end tests that run real processes and inject faults.
package e2e
