package kernel

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrPlugin is the cause where no plug-in has the name asked for.
var ErrPlugin = errors.New("no such plug-in")

// Registry holds the plug-ins of one kind by name; it is safe for many goroutines.
type Registry[T any] struct {
	mu    sync.RWMutex
	kind  string
	items map[string]T
}

// NewRegistry returns an empty registry for plug-ins of the named kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, items: make(map[string]T)}
}

// Register enters a plug-in and panics where its name is taken, since that is a fault of the program.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.items[name]; ok {
		panic("plug-in registered twice: " + r.kind + " " + name)
	}
	r.items[name] = plugin
}

// Lookup returns the named plug-in or fails with ErrPlugin.
func (r *Registry[T]) Lookup(name string) (plugin T, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.items[name]
	if !ok {
		return plugin, errors.Wrapf(ErrPlugin, "%s %q", r.kind, name)
	}
	return plugin, nil
}

// Names returns the names of all plug-ins in order.
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
