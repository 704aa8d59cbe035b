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

// feedMessage is a feed response on the wire. Its changes are compressed, since the
// full state has an entry for every searcher and daemon, these entries are similar, and
// each daemon that starts receives it. The changes are checked after decompression.
type feedMessage struct {
	rrpeer.FeedResponse
	Compressed []byte `json:"packed,omitempty"`
}

// maxCachedChanges is the number of compressed changes that are cached. Following
// daemons need the changes since one of the latest revisions, or the full state.
const maxCachedChanges = 8

// changeCompressor compresses changes, and caches them so that changes sent to many
// daemons are compressed once. It is safe for concurrent use.
type changeCompressor struct {
	codec *Codec

	// mu guards the fields below.
	mu sync.Mutex
	// writer is created on first use: it is large, and most daemons serve no feed.
	writer *flate.Writer
	// cache has the latest compressed changes, the newest last.
	cache []compressedChanges
}

type compressedChanges struct {
	changes *rrpeer.FeedChanges
	bytes   []byte
}

// compress returns the encoded and compressed changes.
func (z *changeCompressor) compress(c *rrpeer.FeedChanges) ([]byte, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if i := slices.IndexFunc(z.cache, func(cached compressedChanges) bool { return cached.changes == c }); i >= 0 {
		return z.cache[i].bytes, nil
	}
	plain, err := z.codec.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encoding changes")
	}
	var out bytes.Buffer
	if z.writer == nil {
		if z.writer, err = flate.NewWriter(io.Discard, flate.DefaultCompression); err != nil {
			return nil, eris.Wrap(err, "building the compressor")
		}
	}
	z.writer.Reset(&out)
	if _, err := z.writer.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compressing changes")
	}
	if err := z.writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing changes")
	}
	if len(z.cache) == maxCachedChanges {
		z.cache = slices.Delete(z.cache, 0, 1)
	}
	z.cache = append(z.cache, compressedChanges{changes: c, bytes: out.Bytes()})
	return out.Bytes(), nil
}

// DecodeFeedResponse decodes and checks a feed response.
func (c *Codec) DecodeFeedResponse(b []byte) (*rrpeer.FeedResponse, error) {
	in := &feedMessage{}
	if err := c.Unmarshal(b, in); err != nil {
		return nil, eris.Wrap(err, "decoding a feed response")
	}
	return c.checkFeedMessage(in)
}

// checkFeedMessage decompresses the changes and returns the checked response.
func (c *Codec) checkFeedMessage(in *feedMessage) (*rrpeer.FeedResponse, error) {
	if len(in.Compressed) > 0 {
		changes, err := c.decompress(in.Compressed)
		if err != nil {
			return nil, err
		}
		in.Changes = changes
	}
	return &in.FeedResponse, in.Check()
}

// decompress returns the changes from their compressed encoding.
func (c *Codec) decompress(b []byte) (*rrpeer.FeedChanges, error) {
	reader := flate.NewReader(bytes.NewReader(b))
	plain, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing changes")
	}
	if len(plain) > maxMessageBytes {
		return nil, eris.Errorf("changes are longer than %d bytes", maxMessageBytes)
	}
	changes := &rrpeer.FeedChanges{}
	return changes, eris.Wrap(c.Unmarshal(plain, changes), "decoding changes")
}
