package rrconn

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// chunkBytes is the size of the pieces in which a body of unknown length is read.
const chunkBytes = 16 << 10

type bodyChunk [chunkBytes]byte

// bodyReader reads the bodies of responses. What it read of a body that does not end is
// reused at once, and leaves nothing to the garbage collector.
type bodyReader struct {
	// chunks holds *bodyChunk.
	chunks sync.Pool
}

func newBodyReader() *bodyReader {
	return &bodyReader{chunks: sync.Pool{New: func() any { return new(bodyChunk) }}}
}

// read reads a body whose length was announced; length is negative if it was not.
func (b *bodyReader) read(r io.Reader, length int64) ([]byte, error) {
	if length >= 0 && length <= chunkBytes {
		var body bytes.Buffer
		body.Grow(int(length) + bytes.MinRead)
		_, err := body.ReadFrom(r)
		return body.Bytes(), err
	}
	return b.readChunks(r)
}

// readChunks reads a body of at most maxBodyBytes.
func (b *bodyReader) readChunks(r io.Reader) ([]byte, error) {
	var chunks []*bodyChunk
	defer func() {
		for _, c := range chunks {
			b.chunks.Put(c)
		}
	}()
	size := 0
	for {
		c, ok := b.chunks.Get().(*bodyChunk)
		if !ok {
			c = new(bodyChunk)
		}
		chunks = append(chunks, c)
		n, err := fill(r, c[:])
		size += n
		switch {
		case size > maxBodyBytes:
			return nil, eris.Errorf("body is longer than %d bytes", maxBodyBytes)
		case errors.Is(err, io.EOF):
			return join(chunks, size), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until p is full. Unlike io.ReadFull it tells the end of r from a body that
// breaks off, for which r returns io.ErrUnexpectedEOF.
func fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// join returns the first size bytes of the chunks.
func join(chunks []*bodyChunk, size int) []byte {
	body := make([]byte, 0, size)
	for _, c := range chunks {
		body = append(body, c[:min(len(c), size-len(body))]...)
	}
	return body
}
