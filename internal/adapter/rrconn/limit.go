package rrconn

import (
	"errors"
	"io"
	"sync/atomic"
)

// Limits on what searchers may send.
const (
	// maxHeaderBytes is the longest status line and header of a response.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes is the longest body of a response, without its framing.
	maxBodyBytes = 8 << 20
	// maxFramingBytes is how many more bytes chunk headers and trailers may add to
	// such a body on the wire.
	maxFramingBytes = maxBodyBytes/8 + maxHeaderBytes
	// uncountedBytes of each response don't count toward maxBufferedBytes.
	uncountedBytes = 16 << 10
	// maxBufferedBytes bounds the memory of all responses that are being read.
	maxBufferedBytes = 10 << 20
)

var (
	errHeaderTooLong = errors.New("the header of the response is too long")
	errBodyTooLong   = errors.New("the body of the response is too long")
	errMemoryLimit   = errors.New("the responses being read exceed the memory limit")
)

// responseLimiter bounds what is read of one response, since a searcher may send
// without end.
type responseLimiter struct {
	r io.Reader
	// remaining is how many more bytes of the header or body may be read, and
	// errLimit the error once there are none.
	remaining int
	errLimit  error
	// read is how many bytes of the response were read, and counted how many of them
	// are in buffered, the total of all responses of the client.
	read, counted int
	buffered      *atomic.Int64
}

func (l *responseLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, l.errLimit
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.read += n
	if over := l.read - uncountedBytes - l.counted; over > 0 {
		l.counted += over
		if l.buffered.Add(int64(over)) > maxBufferedBytes {
			return 0, errMemoryLimit
		}
	}
	return n, err
}

// startHeader resets the limits for the header of the next response.
func (l *responseLimiter) startHeader() {
	l.release()
	l.remaining, l.errLimit = maxHeaderBytes, errHeaderTooLong
}

// startBody sets the limits for the body of the response whose header was read.
func (l *responseLimiter) startBody() {
	l.remaining, l.errLimit = maxBodyBytes+maxFramingBytes, errBodyTooLong
}

// release subtracts the response from the buffered total.
func (l *responseLimiter) release() {
	l.buffered.Add(-int64(l.counted))
	l.read, l.counted = 0, 0
}
