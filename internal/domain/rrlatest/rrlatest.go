// Package rrlatest applies immutable values of which only the latest counts, such as catalogs
// and views of the membership, in the order in which they were set.
package rrlatest

import (
	"sync"
	"sync/atomic"
)

// Value holds the latest value and applies it. It is safe for concurrent use.
type Value[T any] struct {
	// apply must not call Set or Reapply.
	apply func(*T)
	// mu is held while a value is applied, so that none is applied after a later one.
	mu sync.Mutex
	// latest is nil before the first value. It changes under mu.
	latest atomic.Pointer[T]
}

// New returns a Value that passes each value to apply, one at a time.
func New[T any](apply func(*T)) *Value[T] { return &Value[T]{apply: apply} }

// Load returns the latest value, or nil before the first. It may not have been applied yet.
func (v *Value[T]) Load() *T { return v.latest.Load() }

// Set applies a new value.
func (v *Value[T]) Set(latest *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latest.Store(latest)
	v.apply(latest)
}

// Reapply applies the latest value again, after a change of what it is applied with. It has no
// effect before the first value.
func (v *Value[T]) Reapply() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if latest := v.latest.Load(); latest != nil {
		v.apply(latest)
	}
}
