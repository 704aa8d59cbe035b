// Package rroutput captures the output of a program or logger under test.
package rroutput

import (
	"bytes"
	"sync"
)

// Output is a buffer that is safe for concurrent use. The zero Output is empty and
// ready to use.
type Output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns the output written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}
