package rrclaim

import (
	"errors"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// pendingRequest is a request without a decision.
type pendingRequest struct {
	Request
	ticket Ticket
	// writeAttempted is true if a write with this claim was sent, which may have
	// taken effect.
	writeAttempted bool
}

// update is an outcome or a release of a claim that this incarnation holds.
type update struct {
	key    Key
	ticket Ticket
	// outcome is nil if the claim is to be released.
	outcome *Outcome
}

// batch is the content of one write and the decisions that depend on it.
type batch struct {
	next      *table
	base      rrstore.Version
	decisions []Decision
	updates   int
}

// Partition decides on the claims of one object. It is not safe for concurrent
// use. At most one call to the store is in progress at a time.
type Partition struct {
	self      Incarnation
	retention time.Duration

	// table is the object's content at version, nil before the first read.
	table   *table
	version rrstore.Version
	// mustRead is true if the object must be read before the next write.
	mustRead bool
	// minVersion is the lowest version that the object can have. A read of a lower
	// version is stale and ignored.
	minVersion rrstore.Version
	// justRead is true if the table was read since the last decision.
	justRead bool

	// writeUncertain is true if an earlier write on uncertainBase may still take
	// effect. It is cleared once the object has a higher version.
	writeUncertain bool
	uncertainBase  rrstore.Version

	// pendingCall is the kind of the call in progress; batch is set for a write.
	pendingCall CallKind
	batch       *batch

	queue   []*pendingRequest
	updates []update
}

// New returns a partition whose content was not read yet. Ids are accepted for the
// time of retention.
func New(self Incarnation, retention time.Duration) *Partition {
	return &Partition{self: self, retention: retention, mustRead: true}
}

// SetRetention changes how long ids are accepted. Ids whose claims were dropped stay
// refused even if the time becomes longer.
func (p *Partition) SetRetention(retention time.Duration) { p.retention = retention }

// Claim queues a request. It returns false if the queue is full.
func (p *Partition) Claim(ticket Ticket, r Request) bool {
	if len(p.queue) >= MaxWaiting {
		return false
	}
	p.queue = append(p.queue, &pendingRequest{Request: r, ticket: ticket})
	return true
}

// Record queues the outcome of granted work.
func (p *Partition) Record(key Key, ticket Ticket, o Outcome) {
	if rrunit.Bytes(len(encode(o.Hits))) > MaxOutcomeSize {
		o.Hits, o.HitsOmitted = nil, true
	}
	p.updates = append(p.updates, update{key: key, ticket: ticket, outcome: &o})
}

// Release queues the release of granted work that certainly did not run.
func (p *Partition) Release(key Key, ticket Ticket) {
	p.updates = append(p.updates, update{key: key, ticket: ticket})
}

// Cancel cancels a request and reports whether it was still undecided. A claim
// that was or may have been written is released.
func (p *Partition) Cancel(ticket Ticket) bool {
	i := slices.IndexFunc(p.queue, func(pending *pendingRequest) bool { return pending.ticket == ticket })
	if i < 0 {
		return false
	}
	p.releaseIfWritten(p.queue[i])
	p.queue = slices.Delete(p.queue, i, i+1)
	return true
}

func (p *Partition) releaseIfWritten(pending *pendingRequest) {
	if pending.writeAttempted {
		p.Release(pending.Key, pending.ticket)
	}
}

// Peek decides on a request from the content last read or written, for use while
// the store is unavailable. It returns false if that has no such claim, which does
// not rule out that there is one.
func (p *Partition) Peek(r Request) (Decision, bool) {
	if p.table == nil {
		return Decision{}, false
	}
	c, ok := p.table.claims[r.Key]
	if !ok {
		return Decision{}, false
	}
	return decideExisting(&c.Claim, r.Fingerprint), true
}

// holdsClaim reports whether the content last read or written has the ticket's
// claim.
func (p *Partition) holdsClaim(key Key, ticket Ticket) bool {
	c, ok := p.table.claims[key]
	return ok && c.Daemon == p.self && c.Ticket == ticket
}

// Idle reports whether there is no work left: no queued request or update, no call
// in progress and no uncertain write.
func (p *Partition) Idle() bool {
	return p.pendingCall == CallNone && len(p.queue) == 0 && len(p.updates) == 0 && !p.writeUncertain
}

// Waiting returns the number of undecided requests.
func (p *Partition) Waiting() int { return len(p.queue) }

// Pending returns the number of outcomes and releases that are not written yet.
func (p *Partition) Pending() int { return len(p.updates) }

// Next returns the next call to the store, and the decisions that need no call.
func (p *Partition) Next(wall time.Time) (Call, []Decision) {
	if p.pendingCall != CallNone || p.Idle() {
		return Call{}, nil
	}
	if p.mustRead {
		return p.read(), nil
	}
	b := p.evaluate(wall)
	if b.next != nil || p.writeUncertain {
		return p.write(b)
	}
	if !p.justRead && slices.ContainsFunc(b.decisions, needsFreshRead) {
		return p.read(), nil
	}
	p.removeFinished(b)
	return Call{}, b.decisions
}

// needsFreshRead reports whether a write by another daemon could have changed the
// decision, so that it must be confirmed by a read or a write.
func needsFreshRead(d Decision) bool {
	switch d.Verdict {
	case VerdictClaimed, VerdictEarly, VerdictFull:
		return true
	default:
		return false
	}
}

func (p *Partition) read() Call {
	p.pendingCall = CallRead
	return Call{Kind: CallRead}
}

// write starts the write of a batch. While an earlier write is uncertain, it writes
// the table even if it is unchanged, as only a write on the same base guarantees
// that the uncertain one can no longer take effect.
func (p *Partition) write(b *batch) (Call, []Decision) {
	if b.next == nil {
		b.next = p.table
	}
	p.pendingCall = CallWrite
	p.batch = b
	for _, pending := range p.queue {
		pending.writeAttempted = pending.writeAttempted || b.grants(pending.ticket)
	}
	return Call{Kind: CallWrite, Value: b.next.encode(), Base: b.base}, nil
}

func (b *batch) grants(ticket Ticket) bool {
	return slices.ContainsFunc(b.decisions, func(d Decision) bool {
		return d.Ticket == ticket && d.Verdict == VerdictGranted
	})
}

// Finish handles the result of the call in progress and returns the decisions.
func (p *Partition) Finish(r Result) []Decision {
	kind, b := p.pendingCall, p.batch
	p.pendingCall, p.batch = CallNone, nil
	if kind == CallWrite {
		return p.finishWrite(b, &r)
	}
	return p.finishRead(&r)
}

// defaultRetry is the delay after which to retry when the store is unavailable or
// the work is claimed.
const defaultRetry = time.Second

func (p *Partition) finishRead(r *Result) []Decision {
	if r.Err != nil {
		return p.refuseAll()
	}
	if r.Version < p.minVersion {
		return nil
	}
	t, err := decodeTable(r.Value)
	if err != nil {
		return p.refuseAll()
	}
	p.table, p.version, p.minVersion = t, r.Version, r.Version
	p.mustRead, p.justRead = false, true
	if p.writeUncertain && r.Version > p.uncertainBase {
		p.writeUncertain = false
	}
	return nil
}

func (p *Partition) finishWrite(b *batch, r *Result) []Decision {
	switch {
	case r.Err == nil:
		p.table, p.version, p.minVersion, p.writeUncertain = b.next, r.Version, r.Version, false
		p.removeFinished(b)
		return b.decisions
	case errors.Is(r.Err, rrstore.ErrConflict):
		p.mustRead = true
		p.minVersion = max(p.minVersion, b.base+1)
		return nil
	case errors.Is(r.Err, rrstore.ErrUnavailable):
		return p.refuseAll()
	default:
		p.mustRead = true
		p.writeUncertain, p.uncertainBase = true, b.base
		return nil
	}
}

// removeFinished removes the decided requests and the written updates of a batch.
func (p *Partition) removeFinished(b *batch) {
	p.justRead = false
	p.updates = slices.Delete(p.updates, 0, b.updates)
	for _, d := range b.decisions {
		p.queue = slices.DeleteFunc(p.queue, func(pending *pendingRequest) bool { return pending.ticket == d.Ticket })
	}
}

// refuseAll refuses all queued requests when the store is unavailable. Claims that
// may have been written are released as soon as the store is available again.
func (p *Partition) refuseAll() []Decision {
	out := make([]Decision, 0, len(p.queue))
	for _, pending := range p.queue {
		p.releaseIfWritten(pending)
		d := Decision{Ticket: pending.ticket, Verdict: VerdictStoreUnavailable, RetryAfter: defaultRetry}
		if known, ok := p.Peek(pending.Request); ok && !p.holdsClaim(pending.Key, pending.ticket) {
			d = known
			d.Ticket = pending.ticket
		}
		out = append(out, d)
	}
	p.queue = nil
	return out
}
