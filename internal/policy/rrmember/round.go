package rrmember

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// minRoundTime is how long a round lasts before one for a newer number may replace
// it. Shorter rounds would never complete when numbers increase quickly.
const minRoundTime = 10 * time.Second

// round collects, by gossip, which instances use the definition with some number or
// a later one.
type round struct {
	// converged is the highest number found to be used by all instances; it only
	// increases.
	converged rrunit.DefinitionNumber
	// target is the number that reports are collected for; it only increases.
	target rrunit.DefinitionNumber
	// startedAt is when the round for the target started.
	startedAt rrunit.Instant
	// reported is true at the index of each instance of the current list that
	// reported the target or a later number; missing counts the others.
	reported []bool
	missing  int
}

// restart starts a round for another number.
func (r *round) restart(now rrunit.Instant, target rrunit.DefinitionNumber, members int) {
	r.target = target
	r.startedAt = now
	r.reported = make([]bool, members)
	r.missing = members
}

// markReported records the report of the instance at the index of the list.
func (r *round) markReported(index int) {
	if !r.reported[index] {
		r.reported[index] = true
		r.missing--
	}
}

// updateConverged sets the target as converged if no instance is missing.
func (r *round) updateConverged() {
	if r.missing == 0 && len(r.reported) > 0 {
		r.converged = max(r.converged, r.target)
	}
}

// toMessage returns the round in the form sent in a digest, with one bit for each
// index of the list.
func (r *round) toMessage(l *List) rrpeer.RolloutRound {
	bits := make([]byte, (l.Len()+7)/8)
	for i, set := range r.reported {
		if set {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return rrpeer.RolloutRound{Converged: r.converged, Target: r.target, Bits: bits}
}

// remap transfers the reports to the indexes of another list.
func (r *round) remap(from, to *List) {
	old := r.reported
	r.reported = make([]bool, to.Len())
	r.missing = to.Len()
	for i, set := range old {
		if !set {
			continue
		}
		if index, ok := to.indexes[from.peers[i].ID]; ok {
			r.markReported(index)
		}
	}
}

// advanceRound starts a round for the daemon's own number once the last round is
// complete or has lasted minRoundTime. It records the daemon's own number.
func (c *Membership) advanceRound(now rrunit.Instant) {
	r := &c.round
	due := r.converged >= r.target || now.Sub(r.startedAt) >= minRoundTime
	if c.versions.Number > r.target && due {
		r.restart(now, c.versions.Number, c.list.Len())
	}
	c.recordNumber(c.self.ID, c.versions.Number)
	r.updateConverged()
}

// recordNumber records the number that an instance uses.
func (c *Membership) recordNumber(id rrunit.InstanceID, number rrunit.DefinitionNumber) {
	index, ok := c.list.indexes[id]
	if ok && number >= c.round.target && c.round.target > 0 {
		c.round.markReported(index)
	}
}

// mergeRound merges the round of a peer's digest.
func (c *Membership) mergeRound(now rrunit.Instant, d *rrpeer.Digest) {
	r := &c.round
	r.converged = max(r.converged, d.Round.Converged)
	if d.Round.Target > r.target {
		r.restart(now, d.Round.Target, c.list.Len())
	}
	if d.Round.Target == r.target {
		c.mergeBits(d)
	}
	c.recordNumber(d.From, d.Versions.Number)
	c.advanceRound(now)
}

// mergeBits merges the bits of a round for the same number. Their indexes refer to
// the peer's list; they are ignored if that is none of the recent lists.
func (c *Membership) mergeBits(d *rrpeer.Digest) {
	for _, l := range c.recent {
		if l.sum != d.Versions.ListSum || len(d.Round.Bits) != (l.Len()+7)/8 {
			continue
		}
		for i := range l.peers {
			if d.Round.Bits[i/8]&(1<<(i%8)) == 0 {
				continue
			}
			if l == c.list {
				c.round.markReported(i)
			} else if index, ok := c.list.indexes[l.peers[i].ID]; ok {
				c.round.markReported(index)
			}
		}
		return
	}
}
