package rrclaim

import (
	"errors"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// waiting is a request without decision.
type pendingRequest struct {
	Request
	ticket Ticket
	// written says that a write with this claim was tried; it may have taken
	// effect.
	writeAttempted bool
}

// change is a change of a claim that this incarnation holds.
type update struct {
	key    Key
	ticket Ticket
	// outcome is nil to release the claim.
	outcome *Outcome
}

// batch is what one write carries.
type batch struct {
	next      *table
	base      rrstore.Version
	decisions []Decision
	updates   int
}

// Partition decides on the claims of one object. It is not safe for concurrent
// use. At most one call of the store is under way at a time.
type Partition struct {
	self      Incarnation
	retention time.Duration

	// table is the content at version, nil before the first read.
	table   *table
	version rrstore.Version
	// reread says that the object has to be read before it can be written.
	mustRead bool
	// least is the lowest version that the object can have. A read of a lower
	// one is stale and tells nothing.
	minVersion rrstore.Version
	// fresh says that the table was just read.
	justRead bool

	// doubt says that a write on doubtBase may yet take effect. It ends when
	// the object is known to have a higher version.
	writeUncertain bool
	uncertainBase  rrstore.Version

	// calling is the kind of the call under way; batch belongs to a write.
	pendingCall CallKind
	batch       *batch

	queue   []*pendingRequest
	updates []update
}

// New returns a partition whose content is not known yet. Ids are accepted for
// the time of keep.
func New(self Incarnation, keep time.Duration) *Partition {
	return &Partition{self: self, retention: keep, mustRead: true}
}

// SetKeep changes how long ids are accepted. A longer time never brings back
// ids whose claims were dropped.
func (p *Partition) SetKeep(keep time.Duration) { p.retention = keep }

// Claim queues a request. It returns false if too many wait.
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
		o.Hits, o.Large = nil, true
	}
	p.updates = append(p.updates, update{key: key, ticket: ticket, outcome: &o})
}

// Release queues the release of granted work that surely did not run.
func (p *Partition) Release(key Key, ticket Ticket) {
	p.updates = append(p.updates, update{key: key, ticket: ticket})
}

// Abandon gives up a request and reports whether it was still undecided. A
// claim that was or may be written is released.
func (p *Partition) Abandon(ticket Ticket) bool {
	i := slices.IndexFunc(p.queue, func(w *pendingRequest) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	p.releaseIfWritten(p.queue[i])
	p.queue = slices.Delete(p.queue, i, i+1)
	return true
}

func (p *Partition) releaseIfWritten(w *pendingRequest) {
	if w.writeAttempted {
		p.Release(w.Key, w.ticket)
	}
}

// Peek answers a request from the content known, for want of the store. It
// returns false if that has no such claim, which proves nothing.
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

// owns reports whether the content known has the ticket's claim.
func (p *Partition) holdsClaim(key Key, ticket Ticket) bool {
	c, ok := p.table.claims[key]
	return ok && c.Daemon == p.self && c.Ticket == ticket
}

// Idle reports whether nothing is left to do.
func (p *Partition) Idle() bool {
	return p.pendingCall == CallNone && len(p.queue) == 0 && len(p.updates) == 0 && !p.writeUncertain
}

// Waiting returns the number of requests without decision.
func (p *Partition) Waiting() int { return len(p.queue) }

// Pending returns the number of records and releases that are not written yet.
func (p *Partition) Pending() int { return len(p.updates) }

// Next returns the next call of the store, and the decisions that need none.
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

// needsFresh reports whether another daemon's write could have changed the
// decision, so that it takes a read or a write to be sure.
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

// write starts the write of a batch. While in doubt it also writes a table
// without change, as only a write on the same base proves that the one in doubt
// cannot take effect any more.
func (p *Partition) write(b *batch) (Call, []Decision) {
	if b.next == nil {
		b.next = p.table
	}
	p.pendingCall = CallWrite
	p.batch = b
	for _, w := range p.queue {
		w.writeAttempted = w.writeAttempted || b.grants(w.ticket)
	}
	return Call{Kind: CallWrite, Value: b.next.encode(), Base: b.base}, nil
}

func (b *batch) grants(ticket Ticket) bool {
	return slices.ContainsFunc(b.decisions, func(d Decision) bool {
		return d.Ticket == ticket && d.Verdict == VerdictGranted
	})
}

// Finish takes the end of the call under way.
func (p *Partition) Finish(r Result) []Decision {
	kind, b := p.pendingCall, p.batch
	p.pendingCall, p.batch = CallNone, nil
	if kind == CallWrite {
		return p.finishWrite(b, &r)
	}
	return p.finishRead(&r)
}

// defaultRetry is when to come back after a refusal for want of the store.
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

// finish removes what the batch has decided or written.
func (p *Partition) removeFinished(b *batch) {
	p.justRead = false
	p.updates = slices.Delete(p.updates, 0, b.updates)
	for _, d := range b.decisions {
		p.queue = slices.DeleteFunc(p.queue, func(w *pendingRequest) bool { return w.ticket == d.Ticket })
	}
}

// refuseAll refuses every request that waits, for want of the store. Claims
// that may have been written are released as soon as the store is back.
func (p *Partition) refuseAll() []Decision {
	out := make([]Decision, 0, len(p.queue))
	for _, w := range p.queue {
		p.releaseIfWritten(w)
		d := Decision{Ticket: w.ticket, Verdict: VerdictStore, Retry: defaultRetry}
		if known, ok := p.Peek(w.Request); ok && !p.holdsClaim(w.Key, w.ticket) {
			d = known
			d.Ticket = w.ticket
		}
		out = append(out, d)
	}
	p.queue = nil
	return out
}
