// Package rrheap measures the heap for tests.
package rrheap

import "runtime"

// LiveBytes returns the size of the heap in bytes after garbage collection.
func LiveBytes() uint64 {
	// The second collection frees objects that finalizers have released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
