// Package rrpanic limits the effect of a panic to one message or one attempt
// instead of the whole process.
package rrpanic

import (
	"path"
	"runtime"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Recover converts a panic into an error. It must be deferred by a function that
// processes received input, and that holds no lock while it does or repairs what the lock
// guards.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = eris.Errorf("unexpected error at %s: %v", origin(), p)
	}
}

// Do runs f, and returns its panic as an error.
func Do(f func()) (err error) {
	defer Recover(&err)
	f()
	return nil
}

// origin returns the file and line of the statement that panicked.
func origin() string {
	const (
		// skipped counts the frames of runtime.Callers, origin and Recover.
		skipped = 3
		// depth exceeds the number of runtime frames above that statement.
		depth = 16
	)
	pc := make([]uintptr, depth)
	frames := runtime.CallersFrames(pc[:runtime.Callers(skipped, pc)])
	for {
		f, more := frames.Next()
		if !strings.HasPrefix(f.Function, "runtime.") {
			return path.Base(f.File) + ":" + strconv.Itoa(f.Line)
		}
		if !more {
			return "?"
		}
	}
}
