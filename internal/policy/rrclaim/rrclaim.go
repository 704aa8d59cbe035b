// Package rrclaim grants claims on non-idempotent work, so that each runs at most
// once. A Partition holds the claims of one object in the platform's store and
// decides what to read and write there, and which claims are granted. It has no
// goroutine, clock or connection; docs/design/claims.md describes the design.
package rrclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// A claim's object is selected by a hash of its key and by the time of its id. So
// the claims of one moment are in few objects, each write covers many claims, and
// claims can be kept for days. The three constants must not change while claims are
// kept, as they would then be looked up in other objects.
const (
	// PartitionsPerWindow is the number of objects for the claims of one window.
	PartitionsPerWindow = 16
	// Window is the range of id times in one object.
	Window = 10 * time.Minute
	// WindowCount is the number of windows before objects are reused.
	WindowCount = 256
)

// Bounds of claims.
const (
	// RetentionMargin is how much longer a claim is kept than its id is accepted,
	// so that a resend still receives its outcome if clocks differ.
	RetentionMargin = time.Minute
	// MaxFutureSkew is how far an id's time may be in the future.
	MaxFutureSkew = 10 * time.Second
	// MaxOutcomeSize is the largest size of the recorded hits of one claim.
	MaxOutcomeSize rrunit.Bytes = 1 << 10
	// MaxObjectSize is the largest size of a partition with its claims, below the
	// store's limit to leave room for outcomes.
	MaxObjectSize = rrstore.MaxValueSize * 15 / 16
	// MaxWaiting is the largest number of requests in the queue of one partition.
	MaxWaiting = 1024
)

// Incarnation identifies one run of a daemon, unique among all runs.
type Incarnation string

// Ticket numbers the claim requests of one incarnation. Incarnation and ticket
// together are the nonce by which a written claim is recognized.
type Ticket uint64

// Key identifies the work that a claim is for.
type Key struct {
	Caller rrunit.CallerID
	ID     rrunit.RequestID
}

// Location identifies the object that holds a claim.
type Location struct {
	// Partition is below PartitionsPerWindow, and Window below WindowCount.
	Partition, Window int
}

// Location returns the location of the object that holds the claim of the key.
func (k Key) Location() Location {
	h := xxhash.New()
	_, _ = h.WriteString(string(k.Caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(k.ID))
	window := idTime(k.ID).Unix() / int64(Window/time.Second)
	return Location{Partition: int(h.Sum64() % PartitionsPerWindow), Window: int(window % WindowCount)}
}

// ObjectKey returns the key of the object.
func (p Location) ObjectKey() rrstore.Key {
	return rrstore.Key(fmt.Sprintf("claims-%03d-%02d", p.Window, p.Partition))
}

// State is the state of claimed work.
type State string

// The states of a claim. A released claim is removed.
const (
	// StateClaimed means that the work may have run or may still run.
	StateClaimed State = "claimed"
	// StateDone means that the work ran and answered.
	StateDone State = "done"
)

// Claim is a claim in its stored form.
type Claim struct {
	Caller      rrunit.CallerID    `json:"caller"`
	ID          rrunit.RequestID   `json:"id"`
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	// Daemon and Ticket are the nonce of the request that may run the work.
	Daemon Incarnation `json:"daemon"`
	Ticket Ticket      `json:"ticket"`
	State  State       `json:"state"`
	// Outcome is set if and only if the state is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// check returns an error if a claim that was read is invalid.
func (c *Claim) check() error {
	if _, err := rrquery.IDTime(c.ID); err != nil {
		return err
	}
	switch {
	case c.State == StateClaimed && c.Outcome == nil, c.State == StateDone && c.Outcome != nil:
		return nil
	default:
		return rrunit.Invalid("state", "%q does not go with the outcome", c.State)
	}
}

// Outcome is the answer of work that ran.
type Outcome struct {
	Shard    rrunit.ShardName `json:"shard"`
	Snapshot rrunit.Snapshot  `json:"snapshot"`
	Hits     []rrquery.Hit    `json:"hits,omitempty"`
	// HitsOmitted is true if the hits were too large to be recorded.
	HitsOmitted bool `json:"large,omitempty"`
}

// Request is a request for a claim.
type Request struct {
	Key
	Fingerprint rrunit.Fingerprint
	// Time is the timestamp of the id.
	Time time.Time
}

// Verdict is the decision on a request.
type Verdict string

// The verdicts.
const (
	// VerdictGranted means that the requester may run the work, once.
	VerdictGranted Verdict = "granted"
	// VerdictDone means that the work ran before; the decision has its outcome.
	VerdictDone Verdict = "done"
	// VerdictClaimed means that another request holds the claim and has no outcome
	// yet.
	VerdictClaimed Verdict = "claimed"
	// VerdictMismatch means that the id was used for other work.
	VerdictMismatch Verdict = "mismatch"
	// VerdictExpired means that the id is so old that its claim may have been
	// dropped.
	VerdictExpired Verdict = "expired"
	// VerdictEarly means that the id's time is too far in the future.
	VerdictEarly Verdict = "early"
	// VerdictFull means that the partition is full.
	VerdictFull Verdict = "full"
	// VerdictStoreUnavailable means that the store could not be read or written. The work must
	// not run; a claim that was written nevertheless will be released.
	VerdictStoreUnavailable Verdict = "store"
)

// Decision is the final decision on one ticket.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Outcome is set for VerdictDone.
	Outcome *Outcome
	// RetryAfter is the delay after which to retry; zero means unspecified.
	RetryAfter time.Duration
}

// CallKind is the kind of a call to the store.
type CallKind string

// The kinds of calls.
const (
	CallNone  CallKind = ""
	CallRead  CallKind = "read"
	CallWrite CallKind = "write"
)

// Call is a call to the store to be made by the caller of Next.
type Call struct {
	Kind CallKind
	// Value and Base are set for writes.
	Value []byte
	Base  rrstore.Version
}

// Result is the result of a call.
type Result struct {
	// Version is the version read or written; zero if the object does not exist.
	Version rrstore.Version
	// Value is the value read.
	Value []byte
	// Err is nil or a wrapped error of rrstore. An object that does not exist is
	// not an error.
	Err error
}
