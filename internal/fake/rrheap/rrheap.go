// Package rrheap measures the heap for tests.
package rrheap

import "runtime"

// LiveBytes returns how many bytes are in use once garbage is collected.
func LiveBytes() uint64 {
	// What finalizers let go is free after a second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
