package rrlink

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// feedNews is news on the wire, with the changes packed: a whole state names each
// searcher and daemon, which are much alike, and goes to every daemon that starts.
// The changes are checked once they are unpacked.
type feedNews struct {
	rrpeer.FeedResponse
	Packed []byte `json:"packed,omitempty"`
}

// mostPacked is how many packed changes are kept. Daemons that follow this one ask
// with what it had before, or with nothing.
const mostPacked = 8

// packer packs changes, those that many are told only once. It is safe for
// concurrent use.
type packer struct {
	codec *Codec

	// mu guards the fields below.
	mu sync.Mutex
	// zip is built with the first use: it is large, and most daemons tell nobody.
	zip *flate.Writer
	// kept has what was packed last, the newest last.
	kept []packed
}

type packed struct {
	changes *rrpeer.FeedChanges
	bytes   []byte
}

// pack returns the changes as bytes.
func (p *packer) pack(c *rrpeer.FeedChanges) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.IndexFunc(p.kept, func(k packed) bool { return k.changes == c }); i >= 0 {
		return p.kept[i].bytes, nil
	}
	plain, err := p.codec.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encoding changes")
	}
	var out bytes.Buffer
	if p.zip == nil {
		if p.zip, err = flate.NewWriter(io.Discard, flate.DefaultCompression); err != nil {
			return nil, eris.Wrap(err, "building the compressor")
		}
	}
	p.zip.Reset(&out)
	if _, err := p.zip.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compressing changes")
	}
	if err := p.zip.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing changes")
	}
	if len(p.kept) == mostPacked {
		p.kept = slices.Delete(p.kept, 0, 1)
	}
	p.kept = append(p.kept, packed{changes: c, bytes: out.Bytes()})
	return out.Bytes(), nil
}

// DecodeNews returns checked news from the bytes of a message.
func (c *Codec) DecodeNews(b []byte) (*rrpeer.FeedResponse, error) {
	in := &feedNews{}
	if err := c.Unmarshal(b, in); err != nil {
		return nil, eris.Wrap(err, "decoding news")
	}
	return c.news(in)
}

// news returns checked news.
func (c *Codec) news(in *feedNews) (*rrpeer.FeedResponse, error) {
	if len(in.Packed) > 0 {
		changes, err := c.unpack(in.Packed)
		if err != nil {
			return nil, err
		}
		in.Changes = changes
	}
	return &in.FeedResponse, in.Check()
}

// unpack returns changes from bytes.
func (c *Codec) unpack(b []byte) (*rrpeer.FeedChanges, error) {
	zip := flate.NewReader(bytes.NewReader(b))
	plain, err := io.ReadAll(io.LimitReader(zip, maxMessage+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing changes")
	}
	if len(plain) > maxMessage {
		return nil, eris.Errorf("changes are longer than %d bytes", maxMessage)
	}
	changes := &rrpeer.FeedChanges{}
	return changes, eris.Wrap(c.Unmarshal(plain, changes), "decoding changes")
}
