// Package rrdelta encodes a document as a delta from another version of it, so that
// daemons transfer only the changed part. It is suited to JSON: both versions are
// split into chunks after each closing brace, and chunks that both have are
// referenced instead of sent.
package rrdelta

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// The operations of a delta. Each is followed by varints: a copy by offset and
// length in the base, a literal by its length and bytes.
const (
	opCopy    byte = 1
	opLiteral byte = 2
)

// errCorrupt means that a delta is malformed or does not match its base.
var errCorrupt = eris.New("delta is corrupt")

// Sum returns the hash of a document, which is never zero.
func Sum(b []byte) rrpeer.Sum { return rrpeer.Sum(max(xxhash.Sum64(b), 1)) }

// Base is a version of a document that deltas refer to. It is immutable.
type Base struct {
	value  []byte
	chunks map[string]int
}

// NewBase returns a base of the value, which must not be modified afterwards.
func NewBase(value []byte) *Base {
	b := &Base{value: value, chunks: make(map[string]int)}
	for start := 0; start < len(value); {
		end := chunkEnd(value, start)
		b.chunks[string(value[start:end])] = start
		start = end
	}
	return b
}

func chunkEnd(value []byte, start int) int {
	if i := slices.Index(value[start:], '}'); i >= 0 {
		return start + i + 1
	}
	return len(value)
}

// Diff returns the delta from the base to value.
func (b *Base) Diff(value []byte) []byte {
	var out, literal []byte
	flush := func() {
		if len(literal) > 0 {
			out = append(out, opLiteral)
			out = binary.AppendUvarint(out, uint64(len(literal)))
			out = append(out, literal...)
			literal = literal[:0]
		}
	}
	for start := 0; start < len(value); {
		from, n := b.match(value[start:])
		if n == 0 {
			end := chunkEnd(value, start)
			literal = append(literal, value[start:end]...)
			start = end
			continue
		}
		flush()
		out = append(out, opCopy)
		out = binary.AppendUvarint(out, uint64(from))
		out = binary.AppendUvarint(out, uint64(n))
		start += n
	}
	flush()
	return out
}

// match finds the value's first chunk in the base. It returns the chunk's offset and
// how many bytes from there equal the start of the value; n is 0 if the base does
// not have the chunk.
func (b *Base) match(value []byte) (from, n int) {
	from, ok := b.chunks[string(value[:chunkEnd(value, 0)])]
	if !ok {
		return 0, 0
	}
	rest := b.value[from:]
	for n < len(value) && n < len(rest) && value[n] == rest[n] {
		n++
	}
	return from, n
}

// Apply applies a delta to its base and returns the value. It fails if the value
// exceeds limit bytes.
func Apply(base, delta []byte, limit int) ([]byte, error) {
	var out []byte
	for len(delta) > 0 {
		op := delta[0]
		var offset, length uint64
		var err error
		if offset, delta, err = uvarint(delta[1:]); err != nil {
			return nil, err
		}
		source := base
		switch op {
		case opCopy:
			if length, delta, err = uvarint(delta); err != nil {
				return nil, err
			}
		case opLiteral:
			// The first number of a literal is its length.
			source, offset, length = delta, 0, offset
		default:
			return nil, errCorrupt
		}
		if offset > uint64(len(source)) || length > uint64(len(source))-offset || uint64(len(out))+length > uint64(limit) {
			return nil, errCorrupt
		}
		out = append(out, source[offset:offset+length]...)
		if op == opLiteral {
			delta = delta[length:]
		}
	}
	return out, nil
}

func uvarint(b []byte) (v uint64, rest []byte, err error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errCorrupt
	}
	return v, b[n:], nil
}
