package rrpeer

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Bounds of one digest, which Check enforces.
const (
	MaxDigestLeaveNotices = 32
	MaxDigestQuarantines  = 32
	MaxRoundBitmapBytes   = 1 << 12
)

// Age is the time since an event, in milliseconds.
type Age uint32

// maxAge is the largest Age.
const maxAge = Age(1<<32 - 1)

// NewAge converts d to an age, clamped to the range of Age.
func NewAge(d time.Duration) Age {
	ms := d.Milliseconds()
	switch {
	case ms < 0:
		return 0
	case ms > int64(maxAge):
		return maxAge
	}
	return Age(ms)
}

// Std converts the age to the standard library's type.
func (a Age) Std() time.Duration { return time.Duration(a) * time.Millisecond }

// Sum is a hash of a document's bytes; zero means no document.
type Sum uint64

// DocumentVersions are the versions of the shared documents that an instance holds.
type DocumentVersions struct {
	_ struct{} `cbor:",toarray"`
	// Number is the number of the definition, zero if the instance has none.
	Number rrunit.DefinitionNumber `json:"number"`
	// ListSum is the sum of the platform's list, zero if the instance has none.
	ListSum Sum `json:"list"`
	// ListAge is the time since any daemon read that list from the platform.
	ListAge Age `json:"read"`
}

// LeaveNotice is a notice that an instance is leaving, possibly forwarded by others.
type LeaveNotice struct {
	_  struct{}          `cbor:",toarray"`
	ID rrunit.InstanceID `json:"id"`
	// Age is the time since the instance itself announced it.
	Age Age `json:"age"`
}

// RolloutRound collects which instances use the definition with some number or a later
// one. Two rounds of the same number and list are merged by the union of their bits.
type RolloutRound struct {
	_ struct{} `cbor:",toarray"`
	// Converged is the highest number that any daemon found to be used by all
	// instances.
	Converged rrunit.DefinitionNumber `json:"force"`
	// Target is the number that the round collects reports for.
	Target rrunit.DefinitionNumber `json:"target"`
	// Bits has one bit for each instance of the list in Versions, in ascending order
	// of ids, starting with the lowest bit of each byte.
	Bits []byte `json:"bits"`
}

// Digest is the state that two daemons exchange at a heartbeat.
type Digest struct {
	From     rrunit.InstanceID `json:"from"`
	Zone     rrunit.Zone       `json:"zone"`
	Versions DocumentVersions  `json:"tags"`
	Leaving  bool              `json:"leaving,omitempty"`
	Round    RolloutRound      `json:"round"`
	// Quarantines are requests that crash searchers, detected by the sender or
	// received from others.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// LeaveNotices are the notices of leaving instances.
	LeaveNotices []LeaveNotice `json:"news,omitempty"`
}

// Check returns an error that names the first invalid field.
func (d *Digest) Check() error {
	if err := rrunit.CheckName("from", d.From); err != nil {
		return err
	}
	if err := rrunit.CheckName("zone", d.Zone); err != nil {
		return err
	}
	if len(d.Round.Bits) > MaxRoundBitmapBytes {
		return rrunit.Invalid("round.bits", "is over %d bytes", MaxRoundBitmapBytes)
	}
	if d.Round.Converged > d.Round.Target {
		return rrunit.Invalid("round.force", "is above the target")
	}
	if len(d.Quarantines) > MaxDigestQuarantines {
		return rrunit.Invalid("quarantines", "has more than %d", MaxDigestQuarantines)
	}
	for i := range d.Quarantines {
		if d.Quarantines[i].TimeLeft < 0 {
			return rrunit.Invalid("quarantines.left", "%s is below 0s", d.Quarantines[i].TimeLeft)
		}
	}
	return d.checkLeaveNotices()
}

func (d *Digest) checkLeaveNotices() error {
	if len(d.LeaveNotices) > MaxDigestLeaveNotices {
		return rrunit.Invalid("news", "has more than %d", MaxDigestLeaveNotices)
	}
	for i := range d.LeaveNotices {
		if err := rrunit.CheckName("news.id", d.LeaveNotices[i].ID); err != nil {
			return err
		}
	}
	return nil
}

// Document identifies a document that all daemons hold a copy of.
type Document string

// The documents.
const (
	DocumentDefinition Document = "definition"
	DocumentList       Document = "list"
)

// MaxDocumentSize is the size of the largest document that daemons copy from each other.
const MaxDocumentSize rrunit.Bytes = 8 << 20

// FetchRequest requests a peer's copy of a document.
type FetchRequest struct {
	Document Document `json:"what"`
	// Base is the sum of the requester's copy, zero if it has none.
	Base Sum `json:"base,omitempty"`
}

// Check returns an error that names the first invalid field.
func (a *FetchRequest) Check() error {
	if a.Document != DocumentDefinition && a.Document != DocumentList {
		return rrunit.Invalid("what", "%q is not a document", string(a.Document))
	}
	return nil
}

// DocumentCopy is a peer's copy of a document.
type DocumentCopy struct {
	Document Document `json:"what"`
	// Sum is the sum of the full document, zero if the peer has none.
	Sum Sum `json:"sum"`
	// Number is the number of the definition.
	Number rrunit.DefinitionNumber `json:"number,omitempty"`
	// ListAge is the time since any daemon read the list from the platform.
	ListAge Age `json:"read,omitempty"`
	// IsDelta is true if Value is a delta from the requested base.
	IsDelta bool   `json:"delta,omitempty"`
	Value   []byte `json:"value,omitempty"`
}

// Check returns an error that names the first invalid field.
func (c *DocumentCopy) Check() error {
	if len(c.Value) > int(MaxDocumentSize) {
		return rrunit.Invalid("value", "is over %d bytes", MaxDocumentSize)
	}
	return (&FetchRequest{Document: c.Document}).Check()
}
