package lifecycle

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNotRegistered is returned by Lookup if no plug-in has the name.
var ErrNotRegistered = errors.New("no such plug-in")

// Registry maps names to the plug-ins of one kind; it is safe for concurrent use.
type Registry[T any] struct {
	mu    sync.RWMutex
	kind  string
	items map[string]T
}

// NewRegistry returns an empty registry; kind appears in its errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, items: make(map[string]T)}
}

// Register adds a plug-in; it panics if the name is taken, since that is a programming error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.items[name]; ok {
		panic("plug-in registered twice: " + r.kind + " " + name)
	}
	r.items[name] = plugin
}

// Lookup returns the named plug-in, or ErrNotRegistered if there is none.
func (r *Registry[T]) Lookup(name string) (plugin T, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.items[name]
	if !ok {
		return plugin, errors.Wrapf(ErrNotRegistered, "%s %q", r.kind, name)
	}
	return plugin, nil
}

// Names returns the names of all plug-ins, sorted.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.items))
	for name := range r.items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
