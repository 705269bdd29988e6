// Package store holds positions in the history of the platform's metadata store.
package store
