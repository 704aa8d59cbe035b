package rrdefinition

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// compressAboveBytes is the size of the JSON above which a definition is stored
	// compressed. Smaller definitions stay readable in the store.
	compressAboveBytes = 512 << 10
	// MaxJSONSize is the largest size of a definition in uncompressed JSON.
	MaxJSONSize rrunit.Bytes = 8 << 20
)

// Encode returns the definition in the form kept in the store: JSON, compressed
// with gzip if it is large.
func (d *Definition) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the definition")
	}
	if len(b) > int(MaxJSONSize) {
		return nil, rrunit.Invalid("(definition)", "has %d bytes, more than %d", len(b), MaxJSONSize)
	}
	if len(b) <= compressAboveBytes {
		return b, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(b); err != nil {
		return nil, eris.Wrap(err, "compressing the definition")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing the definition")
	}
	return out.Bytes(), nil
}

// Decompress returns the JSON of a definition in the form kept in the store, which may
// be compressed.
func Decompress(b []byte) ([]byte, error) {
	magic := []byte{0x1f, 0x8b}
	if !bytes.HasPrefix(b, magic) {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, eris.Wrap(err, "reading the gzip header of a definition")
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(MaxJSONSize)+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing the definition")
	}
	if len(out) > int(MaxJSONSize) {
		return nil, rrunit.Invalid("(definition)", "has more than %d bytes", MaxJSONSize)
	}
	return out, nil
}
