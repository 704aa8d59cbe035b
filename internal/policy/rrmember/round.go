package rrmember

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// roundTime is how long a round gathers before one for a newer number may take its
// place. Rounds that end sooner when numbers rise quickly would never be whole.
const minRoundTime = 10 * time.Second

// round gathers, by gossip, which instances use the definition of a number or a
// later one.
type round struct {
	// force is the highest number found in force everywhere; it only rises.
	converged rrunit.DefinitionNumber
	// target is the number that is gathered for; it only rises.
	target rrunit.DefinitionNumber
	// since is when the target was taken.
	since rrunit.Instant
	// bits has true at the place of each instance of the list in use that
	// reported the target or a later number; missing counts the others.
	bits    []bool
	missing int
}

// restart begins to gather for another number.
func (r *round) restart(now rrunit.Instant, target rrunit.DefinitionNumber, members int) {
	r.target = target
	r.since = now
	r.bits = make([]bool, members)
	r.missing = members
}

// set notes that the instance at the place of the list reported.
func (r *round) markReported(place int) {
	if !r.bits[place] {
		r.bits[place] = true
		r.missing--
	}
}

// conclude notes that the target is in force once nobody is missing.
func (r *round) updateConverged() {
	if r.missing == 0 && len(r.bits) > 0 {
		r.converged = max(r.converged, r.target)
	}
}

// wire returns the round as a digest carries it, with its bits by the places of
// the list.
func (r *round) toMessage(l *List) rrpeer.Round {
	bits := make([]byte, (l.Len()+7)/8)
	for i, set := range r.bits {
		if set {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return rrpeer.Round{Force: r.converged, Target: r.target, Bits: bits}
}

// move carries the bits over to another list.
func (r *round) remap(from, to *List) {
	old := r.bits
	r.bits = make([]bool, to.Len())
	r.missing = to.Len()
	for i, set := range old {
		if !set {
			continue
		}
		if place, ok := to.indexes[from.peers[i].ID]; ok {
			r.markReported(place)
		}
	}
}

// advance begins a round for the daemon's own number once the last one is whole
// or old, and reports the daemon's own number to it.
func (c *Core) advanceRound(now rrunit.Instant) {
	r := &c.round
	due := r.converged >= r.target || now.Sub(r.since) >= minRoundTime
	if c.tags.Number > r.target && due {
		r.restart(now, c.tags.Number, c.list.Len())
	}
	c.recordNumber(c.self.ID, c.tags.Number)
	r.updateConverged()
}

// report notes the number that an instance uses.
func (c *Core) recordNumber(id rrunit.InstanceID, number rrunit.DefinitionNumber) {
	place, ok := c.list.indexes[id]
	if ok && number >= c.round.target && c.round.target > 0 {
		c.round.markReported(place)
	}
}

// gather merges the round of a peer's digest.
func (c *Core) mergeRound(now rrunit.Instant, d *rrpeer.Digest) {
	r := &c.round
	r.converged = max(r.converged, d.Round.Force)
	if d.Round.Target > r.target {
		r.restart(now, d.Round.Target, c.list.Len())
	}
	if d.Round.Target == r.target {
		c.mergeBits(d)
	}
	c.recordNumber(d.From, d.Tags.Number)
	c.advanceRound(now)
}

// unite takes the bits of a round of the same number. They are read by the list
// that the peer had, if it is one of the latest.
func (c *Core) mergeBits(d *rrpeer.Digest) {
	for _, l := range c.recent {
		if l.sum != d.Tags.List || len(d.Round.Bits) != (l.Len()+7)/8 {
			continue
		}
		for i := range l.peers {
			if d.Round.Bits[i/8]&(1<<(i%8)) == 0 {
				continue
			}
			if l == c.list {
				c.round.markReported(i)
			} else if place, ok := c.list.indexes[l.peers[i].ID]; ok {
				c.round.markReported(place)
			}
		}
		return
	}
}
