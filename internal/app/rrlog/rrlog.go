// Package rrlog writes a daemon's log as lines of key=value pairs. A blocked
// writer blocks no caller, and each message has a rate limit, so that none
// displaces the others. Dropped lines are counted and the counts are logged.
package rrlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Class determines the rate limit of a message.
type Class string

// The classes of lines.
const (
	// ClassStateChange is for changes of the daemon's state.
	ClassStateChange Class = "belief"
	// ClassFailure is for requests and calls that fail.
	ClassFailure Class = "failure"
	// ClassRoutine is for regular decisions.
	ClassRoutine Class = "routine"
)

// Rate limits of one message, by class. A daemon serves about 40 requests per
// second, which are all logged; at 100 times that rate the log stays below 2 MB per
// minute.
const (
	maxStateChangesPerSecond = 100
	maxFailuresPerSecond     = 100
	maxRoutinesPerSecond     = 50
)

const (
	// bufferLines is how many lines are buffered for the writer.
	bufferLines = 2048
	// summaryInterval is how often the counts of dropped lines are logged.
	summaryInterval = time.Second
	// closeTimeout is how long Close waits for the buffered lines to be written.
	closeTimeout = 200 * time.Millisecond
	timeFormat   = "2006-01-02T15:04:05.000Z07:00"
)

// Log writes lines. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
	out    *asyncWriter
	// limits holds a *messageLimit by message.
	limits *sync.Map
	stop   chan struct{}
	done   sync.WaitGroup
}

// messageLimit limits the rate of one message.
type messageLimit struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a log that writes to w until it is closed.
func New(w io.Writer) *Log {
	out := &asyncWriter{w: w, lines: make(chan []byte, bufferLines)}
	l := &Log{
		out:    out,
		limits: new(sync.Map),
		stop:   make(chan struct{}),
		logger: log.NewWithOptions(out, log.Options{
			ReportTimestamp: true,
			TimeFormat:      timeFormat,
			Formatter:       log.LogfmtFormatter,
		}),
	}
	l.done.Go(func() { out.run(l.stop) })
	l.done.Go(l.summarize)
	return l
}

// With returns a log that adds fields to every line. Closing l closes it too.
func (l *Log) With(kv ...any) *Log {
	return &Log{logger: l.logger.With(kv...), out: l.out, limits: l.limits, stop: l.stop}
}

// Close writes the buffered lines, but waits at most closeTimeout for the writer.
func (l *Log) Close() {
	close(l.stop)
	done := make(chan struct{})
	go func() {
		l.done.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// StateChange logs a change of the daemon's state.
func (l *Log) StateChange(msg string, kv ...any) {
	if l.allow(ClassStateChange, msg) {
		l.logger.Info(msg, kv...)
	}
}

// Failure logs a request or call that failed.
func (l *Log) Failure(msg string, kv ...any) {
	if l.allow(ClassFailure, msg) {
		l.logger.Warn(msg, kv...)
	}
}

// Routine logs a regular decision.
func (l *Log) Routine(msg string, kv ...any) {
	if l.allow(ClassRoutine, msg) {
		l.logger.Info(msg, kv...)
	}
}

// Logger returns a logger without a rate limit, for libraries.
func (l *Log) Logger() *log.Logger { return l.logger }

func maxPerSecond(c Class) int {
	switch c {
	case ClassStateChange:
		return maxStateChangesPerSecond
	case ClassFailure:
		return maxFailuresPerSecond
	default:
		return maxRoutinesPerSecond
	}
}

// allow reports whether the rate limit of the message permits a line now.
func (l *Log) allow(c Class, msg string) bool {
	v, ok := l.limits.Load(msg)
	if !ok {
		n := maxPerSecond(c)
		v, _ = l.limits.LoadOrStore(msg, &messageLimit{limiter: rate.NewLimiter(rate.Limit(n), n)})
	}
	limit, ok := v.(*messageLimit)
	if !ok || limit.limiter.Allow() {
		return true
	}
	limit.dropped.Add(1)
	return false
}

// summarize periodically logs the counts of dropped lines until the log is closed.
func (l *Log) summarize() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.logDropped()
		case <-l.stop:
			return
		}
	}
}

func (l *Log) logDropped() {
	l.limits.Range(func(k, v any) bool {
		if m, ok := v.(*messageLimit); ok {
			if n := m.dropped.Swap(0); n > 0 {
				l.logger.Warn("lines left out", "of", k, "count", n, "cause", "rate")
			}
		}
		return true
	})
	if n := l.out.dropped.Swap(0); n > 0 {
		l.logger.Warn("lines left out", "of", "all", "count", n, "cause", "writer")
	}
}

// asyncWriter passes lines to a writer from its own goroutine.
type asyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// Write implements io.Writer. It never blocks; lines beyond the buffer are
// dropped and counted.
func (a *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

func (a *asyncWriter) run(stop <-chan struct{}) {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-stop:
			rrunit.Drain(a.lines, a.write)
			return
		}
	}
}

// write writes a line. An error is ignored, since the log is where it would be
// reported.
func (a *asyncWriter) write(line []byte) { _, _ = a.w.Write(line) }
