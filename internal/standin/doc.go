// Package standin holds small stand-ins for the platform, the backend servers and the callers.
package standin
