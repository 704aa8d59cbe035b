// Package rrdump collects the state dump of one daemon from the sections that its
// components provide, without regard to their contents.
package rrdump

import (
	"maps"
	"sync"
)

// Registry holds the functions that return the sections of a dump. It is safe for
// concurrent use.
type Registry struct {
	// mu guards sections.
	mu       sync.Mutex
	sections map[string]func() any
}

// New returns a registry without sections.
func New() *Registry { return &Registry{sections: make(map[string]func() any)} }

// Add adds a section. Its function is called for each dump, from any goroutine,
// and returns a value that encodes to JSON and is not changed afterwards.
func (r *Registry) Add(name string, section func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sections[name] = section
}

// Collect returns the values of all sections by name.
func (r *Registry) Collect() map[string]any {
	r.mu.Lock()
	sections := maps.Clone(r.sections)
	r.mu.Unlock()
	out := make(map[string]any, len(sections))
	for name, section := range sections {
		out[name] = section()
	}
	return out
}
