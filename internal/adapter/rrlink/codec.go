// Package rrlink is the gRPC transport between daemons, with messages encoded as
// CBOR. It does not interpret their content.
package rrlink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// codecName is the gRPC content subtype of the messages.
const codecName = "cbor"

// Limits of one decoded message, so that a faulty peer cannot exhaust the memory of
// this daemon.
const (
	maxMessageBytes       = 8 << 20
	maxCollectionElements = 1 << 17
	maxNestLevel          = 16
)

// Codec encodes messages for gRPC. Fields without a cbor tag are named by their
// json tag.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns the codec of the peer protocol.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "building the CBOR encoder")
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxCollectionElements,
		MaxMapPairs:      maxCollectionElements,
		MaxNestedLevels:  maxNestLevel,
	}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "building the CBOR decoder")
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Marshal implements encoding.Codec.
func (c *Codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal implements encoding.Codec.
func (c *Codec) Unmarshal(b []byte, v any) error { return c.dec.Unmarshal(b, v) }

// Name implements encoding.Codec.
func (*Codec) Name() string { return codecName }
