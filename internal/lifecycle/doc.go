// Package lifecycle provides a registry for plug-ins and a helper to start goroutines.
package lifecycle
