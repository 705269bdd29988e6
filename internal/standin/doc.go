// Package standin implements small stand-ins (fakes) for the platform services, the backend servers and the callers.
package standin
