package rrclaim

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// evaluate applies all queued requests and updates to the table. The batch's table
// is nil if nothing changes.
func (p *Partition) evaluate(wall time.Time) *batch {
	b := &batch{base: p.version, updates: len(p.updates)}
	e := &evaluation{self: p.self, retention: p.retention, wall: wall, newestIDTime: p.newestIDTime(wall), base: p.table}
	for i := range p.updates {
		e.apply(&p.updates[i])
	}
	for _, pending := range p.queue {
		d := e.decide(pending)
		d.Ticket = pending.ticket
		b.decisions = append(b.decisions, d)
	}
	if e.dirty {
		b.next = e.next
	}
	return b
}

// newestIDTime returns the time of the newest queued id that is not too far in the
// future.
func (p *Partition) newestIDTime(wall time.Time) time.Time {
	var out time.Time
	for _, pending := range p.queue {
		if pending.Time.After(out) && pending.Time.Sub(wall) <= MaxFutureSkew {
			out = pending.Time
		}
	}
	return out
}

// evaluation builds the next table from a base table, which it does not modify.
type evaluation struct {
	self      Incarnation
	retention time.Duration
	wall      time.Time
	// newestIDTime is the time of the newest queued id.
	newestIDTime time.Time
	base         *table
	// next is nil before the first edit; dirty is true if it differs from base.
	next  *table
	dirty bool
}

func (e *evaluation) currentTable() *table {
	if e.next != nil {
		return e.next
	}
	return e.base
}

// mutableTable returns the next table. The first call creates it and drops the
// expired claims.
func (e *evaluation) mutableTable() *table {
	if e.next == nil {
		e.next = e.base.clone()
		e.dirty = e.next.dropExpired(e.wall, e.newestIDTime, e.retention) > 0
	}
	return e.next
}

// apply records the outcome of a claim or releases it, if this incarnation still
// holds it.
func (e *evaluation) apply(u *update) {
	held, ok := e.currentTable().claims[u.key]
	if !ok || held.Daemon != e.self || held.Ticket != u.ticket || held.State != StateClaimed {
		return
	}
	next := e.mutableTable()
	if u.outcome == nil {
		next.remove(u.key)
		e.dirty = true
		return
	}
	c := held.Claim
	c.State, c.Outcome = StateDone, u.outcome
	done := newEntry(&c, nil)
	if next.size-held.size+done.size > MaxObjectSize {
		c.Outcome = &Outcome{Shard: u.outcome.Shard, Snapshot: u.outcome.Snapshot, HitsOmitted: true}
		done = newEntry(&c, nil)
	}
	if next.size-held.size+done.size <= rrstore.MaxValueSize {
		next.add(done)
		e.dirty = true
	}
}

func (e *evaluation) decide(pending *pendingRequest) Decision {
	t := e.currentTable()
	if held, ok := t.claims[pending.Key]; ok {
		if held.Daemon == e.self && held.Ticket == pending.ticket {
			return Decision{Verdict: VerdictGranted}
		}
		return decideExisting(&held.Claim, pending.Fingerprint)
	}
	if pending.Time.Before(t.floor) || e.wall.Sub(pending.Time) > e.retention {
		return Decision{Verdict: VerdictExpired}
	}
	if pending.Time.Sub(e.wall) > MaxFutureSkew {
		return Decision{Verdict: VerdictEarly, RetryAfter: pending.Time.Sub(e.wall)}
	}
	return e.grant(pending)
}

func (e *evaluation) grant(pending *pendingRequest) Decision {
	next := e.mutableTable()
	claimed := newEntry(&Claim{
		Caller:      pending.Caller,
		ID:          pending.ID,
		Fingerprint: pending.Fingerprint,
		Daemon:      e.self,
		Ticket:      pending.ticket,
		State:       StateClaimed,
	}, nil)
	if next.size+claimed.size > MaxObjectSize {
		untilFree := next.oldestIDTime().Add(e.retention + RetentionMargin).Sub(e.wall)
		return Decision{Verdict: VerdictFull, RetryAfter: min(max(untilFree, defaultRetry), maxRetry)}
	}
	next.add(claimed)
	e.dirty = true
	return Decision{Verdict: VerdictGranted}
}

// maxRetry is the longest delay before a request to a full partition is retried.
const maxRetry = time.Minute

// decideExisting decides on a request whose claim already exists.
func decideExisting(c *Claim, fingerprint rrunit.Fingerprint) Decision {
	switch {
	case c.Fingerprint != fingerprint:
		return Decision{Verdict: VerdictMismatch}
	case c.State == StateDone:
		o := *c.Outcome
		o.Hits = slices.Clone(o.Hits)
		return Decision{Verdict: VerdictDone, Outcome: &o}
	default:
		return Decision{Verdict: VerdictClaimed, RetryAfter: defaultRetry}
	}
}
