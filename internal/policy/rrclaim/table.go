package rrclaim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// object is the stored form of a partition.
type object struct {
	// Floor is a Unix time in milliseconds. Claims of older ids are neither held
	// nor granted, so that a dropped claim cannot be granted again.
	Floor int64 `json:"floor"`
	// Claims are of type Claim. They are encoded individually, as most of them do
	// not change between versions.
	Claims []json.RawMessage `json:"claims"`
}

// table is the content of one version of a partition.
type table struct {
	floor  time.Time
	claims map[Key]entry
	// size is at least the size of the encoded table.
	size rrunit.Bytes
}

// entry is a claim with values derived from it.
type entry struct {
	Claim
	// idTime is the timestamp of the id.
	idTime time.Time
	// encoded is the claim in JSON.
	encoded []byte
	// size is an upper bound of the encoded claim, including a future outcome
	// without hits.
	size rrunit.Bytes
}

const (
	// emptyTableSize is an upper bound of the encoded size of an empty table.
	emptyTableSize rrunit.Bytes = 64
	// reservedOutcomeSize is reserved for the outcome of each claim without one, so
	// that an outcome without hits always fits.
	reservedOutcomeSize rrunit.Bytes = 128
)

func newTable() *table {
	return &table{floor: time.UnixMilli(0), claims: make(map[Key]entry), size: emptyTableSize}
}

// decodeTable decodes a table. An empty value is an empty table.
func decodeTable(value []byte) (*table, error) {
	t := newTable()
	if len(value) == 0 {
		return t, nil
	}
	var o object
	if err := json.Unmarshal(value, &o); err != nil {
		return nil, eris.Wrap(err, "decoding a partition of claims")
	}
	t.floor = time.UnixMilli(o.Floor)
	for _, encoded := range o.Claims {
		var c Claim
		if err := json.Unmarshal(encoded, &c); err != nil {
			return nil, eris.Wrap(err, "decoding a claim")
		}
		if err := c.check(); err != nil {
			return nil, eris.Wrapf(err, "claim of %s", c.ID)
		}
		t.add(newEntry(&c, encoded))
	}
	return t, nil
}

// encode returns the table in JSON, with the claims sorted by id.
func (t *table) encode() []byte {
	entries := make([]entry, 0, len(t.claims))
	for _, e := range t.claims {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Caller, b.Caller))
	})
	out := make([]byte, 0, t.size)
	out = fmt.Appendf(out, `{"floor":%d,"claims":[`, t.floor.UnixMilli())
	for i := range entries {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, entries[i].encoded...)
	}
	return append(out, "]}"...)
}

func (t *table) clone() *table {
	return &table{floor: t.floor, claims: maps.Clone(t.claims), size: t.size}
}

func (t *table) add(e entry) {
	t.remove(e.key())
	t.claims[e.key()] = e
	t.size += e.size
}

func (t *table) remove(key Key) {
	e, ok := t.claims[key]
	if !ok {
		return
	}
	delete(t.claims, key)
	t.size -= e.size
}

// newEntry returns the entry of a claim with its encoded form. It encodes the claim
// if encoded is nil.
func newEntry(c *Claim, encoded []byte) entry {
	if encoded == nil {
		encoded = encode(c)
	}
	size := rrunit.Bytes(len(encoded)) + 1
	if c.Outcome == nil {
		size += reservedOutcomeSize
	}
	return entry{Claim: *c, idTime: idTime(c.ID), encoded: encoded, size: size}
}

func (e *entry) key() Key { return Key{Caller: e.Caller, ID: e.ID} }

// encode returns the value in JSON. For a value that cannot be encoded, such as a
// hit whose body is not JSON, it returns a result that exceeds all size limits.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return make([]byte, rrstore.MaxValueSize)
	}
	return b
}

// dropExpired drops the claims whose ids no daemon accepts any more and raises the
// floor above them in the same update. newest is the time of the newest queued id.
// The floor depends on the newest id, so that a daemon whose clock is ahead cannot
// raise it above ids that others accept. It returns the number of dropped claims.
func (t *table) dropExpired(wall, newest time.Time, keep time.Duration) int {
	for _, e := range t.claims {
		if e.idTime.After(newest) {
			newest = e.idTime
		}
	}
	if wall.Before(newest) {
		newest = wall
	}
	floor := newest.Add(-keep - RetentionMargin).Truncate(time.Millisecond)
	if !floor.After(t.floor) {
		return 0
	}
	t.floor = floor
	before := len(t.claims)
	for key, e := range t.claims {
		if e.idTime.Before(t.floor) {
			t.remove(key)
		}
	}
	return before - len(t.claims)
}

// oldestIDTime returns the time of the oldest claim's id.
func (t *table) oldestIDTime() time.Time {
	var out time.Time
	for _, e := range t.claims {
		if out.IsZero() || e.idTime.Before(out) {
			out = e.idTime
		}
	}
	return out
}

// idTime returns the timestamp of a valid id.
func idTime(id rrunit.RequestID) time.Time {
	at, err := rrquery.IDTime(id)
	if err != nil {
		return time.UnixMilli(0)
	}
	return at
}
