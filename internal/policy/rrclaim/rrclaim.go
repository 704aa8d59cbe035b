// Package rrclaim is the decision core of claims on non-idempotent work. A
// Partition holds the claims of one object in the platform's store and decides
// what to read and write there, and which claims are granted. It has no
// goroutine, clock or socket; docs/design/claims.md gives the reasons.
package rrclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// A claim's object is picked by a hash of its key and by the time of its id, so
// that the claims of one moment are few objects, each written for many claims at
// once, and that claims can be kept for days. The three must not change while
// claims are kept, as each claim would be looked for in another object.
const (
	// Partitions is how many objects hold the claims of one window.
	PartitionsPerWindow = 16
	// Window is the range of id times that one object holds.
	Window = 10 * time.Minute
	// Windows is how many windows there are before objects are used again.
	WindowCount = 256
)

// Bounds of claims.
const (
	// Margin is how much longer a claim is kept than its id is accepted, so
	// that a resend still gets its outcome where clocks differ.
	RetentionMargin = time.Minute
	// Ahead is how far an id's time may lie in the future.
	MaxFutureSkew = 10 * time.Second
	// MaxOutcome is the largest recorded hits of one claim.
	MaxOutcomeSize rrunit.Bytes = 1 << 10
	// MaxObject is the largest partition; it is below what the store takes.
	MaxObjectSize = rrstore.MaxValue * 15 / 16
	// MaxWaiting is the most claims that wait for one partition.
	MaxWaiting = 1024
)

// Incarnation names one run of one daemon; no two runs share it.
type Incarnation string

// Ticket numbers the claims that one incarnation asks for. Incarnation and
// ticket together are the nonce by which a written claim is recognized.
type Ticket uint64

// Key identifies the work that a claim is for.
type Key struct {
	Caller rrunit.CallerID
	ID     rrunit.RequestID
}

// Place names the object that holds a claim.
type Place struct {
	// Partition is below Partitions, and Window below Windows.
	Partition, Window int
}

// Place returns where the claim of the key is held.
func (k Key) Place() Place {
	h := xxhash.New()
	_, _ = h.WriteString(string(k.Caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(k.ID))
	window := idTime(k.ID).Unix() / int64(Window/time.Second)
	return Place{Partition: int(h.Sum64() % PartitionsPerWindow), Window: int(window % WindowCount)}
}

// ObjectKey returns the key of the object.
func (p Place) ObjectKey() rrstore.Key {
	return rrstore.Key(fmt.Sprintf("claims-%03d-%02d", p.Window, p.Partition))
}

// State says what is known of claimed work.
type State string

// The states of a claim. A released claim is removed.
const (
	// StateClaimed means that the work may have run or may yet run.
	StateClaimed State = "claimed"
	// StateDone means that the work ran and answered.
	StateDone State = "done"
)

// Claim is one claim as the store holds it.
type Claim struct {
	Caller      rrunit.CallerID    `json:"caller"`
	ID          rrunit.RequestID   `json:"id"`
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	// Daemon and Ticket are the nonce of the one who may run the work.
	Daemon Incarnation `json:"daemon"`
	Ticket Ticket      `json:"ticket"`
	State  State       `json:"state"`
	// Outcome is set exactly if the state is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// check reports what is wrong with a claim that was read.
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

// Outcome is what work that ran has answered.
type Outcome struct {
	Shard    rrunit.ShardName `json:"shard"`
	Snapshot rrunit.Snapshot  `json:"snapshot"`
	Hits     []rrquery.Hit    `json:"hits,omitempty"`
	// Large says that the hits were too large to be kept.
	Large bool `json:"large,omitempty"`
}

// Request asks for a claim.
type Request struct {
	Key
	Fingerprint rrunit.Fingerprint
	// Time is the time that the id carries.
	Time time.Time
}

// Verdict is the decision on a request.
type Verdict string

// The verdicts.
const (
	// VerdictGranted lets the one who asked run the work, once.
	VerdictGranted Verdict = "granted"
	// VerdictDone says that the work ran before; the decision has its outcome.
	VerdictDone Verdict = "done"
	// VerdictClaimed says that another holds the claim, without word so far.
	VerdictClaimed Verdict = "claimed"
	// VerdictMismatch says that the id was used for other work.
	VerdictMismatch Verdict = "mismatch"
	// VerdictExpired says that the id is so old that its claim may be gone.
	VerdictExpired Verdict = "expired"
	// VerdictEarly says that the id's time lies too far in the future.
	VerdictEarly Verdict = "early"
	// VerdictFull says that the partition has no room.
	VerdictFull Verdict = "full"
	// VerdictStore says that the store did not decide. The work must not run;
	// a claim that was written all the same will be released.
	VerdictStore Verdict = "store"
)

// Decision is the final word on one ticket.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Outcome is set for VerdictDone.
	Outcome *Outcome
	// Retry is when to come back; zero is not said.
	Retry time.Duration
}

// CallKind says what to do at the store.
type CallKind string

// The kinds of calls.
const (
	CallNone  CallKind = ""
	CallRead  CallKind = "read"
	CallWrite CallKind = "write"
)

// Call is one call of the store that the core asks for.
type Call struct {
	Kind CallKind
	// Value and Base are set for writes.
	Value []byte
	Base  rrstore.Version
}

// Result is how the call ended.
type Result struct {
	// Version is the one read or written; zero if the object does not exist.
	Version rrstore.Version
	// Value is what was read.
	Value []byte
	// Err is nil or one of the errors of rrstore, wrapped. An object that does
	// not exist is no error here.
	Err error
}
