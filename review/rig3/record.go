package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// recorder writes what is sent, answered and run to the record of a case. It is safe for
// concurrent use.
type recorder struct {
	began time.Time

	// mu guards file.
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "creating the record")
	}
	return &recorder{began: time.Now(), file: f}, nil
}

// note adds a line with the time since the start of the case.
func (r *recorder) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *recorder) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written is noticed by who reads it.
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
