package rrclaim

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// evaluate applies all that waits to the table. The batch's table is nil if
// nothing changes.
func (p *Partition) evaluate(wall time.Time) *batch {
	b := &batch{base: p.version, updates: len(p.updates)}
	e := &evaluation{self: p.self, retention: p.retention, wall: wall, newestIDTime: p.newestIDTime(wall), base: p.table}
	for i := range p.updates {
		e.apply(&p.updates[i])
	}
	for _, w := range p.queue {
		d := e.decide(w)
		d.Ticket = w.ticket
		b.decisions = append(b.decisions, d)
	}
	if e.dirty {
		b.next = e.next
	}
	return b
}

// newest returns the time of the newest id that waits and is not early.
func (p *Partition) newestIDTime(wall time.Time) time.Time {
	var out time.Time
	for _, w := range p.queue {
		if w.Time.After(out) && w.Time.Sub(wall) <= MaxFutureSkew {
			out = w.Time
		}
	}
	return out
}

// evaluation builds the next table from one table. The first is not changed.
type evaluation struct {
	self      Incarnation
	retention time.Duration
	wall      time.Time
	// newest is the time of the newest id that waits.
	newestIDTime time.Time
	base         *table
	// next is nil before the first edit; dirty says that it differs from from.
	next  *table
	dirty bool
}

func (e *evaluation) current() *table {
	if e.next != nil {
		return e.next
	}
	return e.base
}

// edit returns the next table. Claims that are no longer kept are dropped with
// the first change.
func (e *evaluation) edit() *table {
	if e.next == nil {
		e.next = e.base.clone()
		e.dirty = e.next.dropExpired(e.wall, e.newestIDTime, e.retention) > 0
	}
	return e.next
}

// apply records or releases a claim that this incarnation still holds.
func (e *evaluation) apply(ch *update) {
	held, ok := e.current().claims[ch.key]
	if !ok || held.Daemon != e.self || held.Ticket != ch.ticket || held.State != StateClaimed {
		return
	}
	next := e.edit()
	if ch.outcome == nil {
		next.remove(ch.key)
		e.dirty = true
		return
	}
	c := held.Claim
	c.State, c.Outcome = StateDone, ch.outcome
	done := newEntry(&c, nil)
	if next.size-held.size+done.size > MaxObjectSize {
		c.Outcome = &Outcome{Shard: ch.outcome.Shard, Snapshot: ch.outcome.Snapshot, Large: true}
		done = newEntry(&c, nil)
	}
	if next.size-held.size+done.size <= rrstore.MaxValue {
		next.add(done)
		e.dirty = true
	}
}

func (e *evaluation) decide(w *pendingRequest) Decision {
	t := e.current()
	if held, ok := t.claims[w.Key]; ok {
		if held.Daemon == e.self && held.Ticket == w.ticket {
			return Decision{Verdict: VerdictGranted}
		}
		return decideExisting(&held.Claim, w.Fingerprint)
	}
	if w.Time.Before(t.floor) || e.wall.Sub(w.Time) > e.retention {
		return Decision{Verdict: VerdictExpired}
	}
	if w.Time.Sub(e.wall) > MaxFutureSkew {
		return Decision{Verdict: VerdictEarly, Retry: w.Time.Sub(e.wall)}
	}
	return e.grant(w)
}

func (e *evaluation) grant(w *pendingRequest) Decision {
	next := e.edit()
	claimed := newEntry(&Claim{
		Caller:      w.Caller,
		ID:          w.ID,
		Fingerprint: w.Fingerprint,
		Daemon:      e.self,
		Ticket:      w.ticket,
		State:       StateClaimed,
	}, nil)
	if next.size+claimed.size > MaxObjectSize {
		free := next.oldestIDTime().Add(e.retention + RetentionMargin).Sub(e.wall)
		return Decision{Verdict: VerdictFull, Retry: min(max(free, defaultRetry), maxRetry)}
	}
	next.add(claimed)
	e.dirty = true
	return Decision{Verdict: VerdictGranted}
}

// longestRetry bounds when to come back to a full partition.
const maxRetry = time.Minute

// found decides on a request whose claim is there already.
func decideExisting(c *Claim, fingerprint rrunit.Fingerprint) Decision {
	switch {
	case c.Fingerprint != fingerprint:
		return Decision{Verdict: VerdictMismatch}
	case c.State == StateDone:
		o := *c.Outcome
		o.Hits = slices.Clone(o.Hits)
		return Decision{Verdict: VerdictDone, Outcome: &o}
	default:
		return Decision{Verdict: VerdictClaimed, Retry: defaultRetry}
	}
}
