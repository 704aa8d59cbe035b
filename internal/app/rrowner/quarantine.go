package rrowner

import (
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// WithQuarantine sets the function that is called with each new quarantine of a
// request that crashes searchers. It is called from any goroutine and must not block.
func WithQuarantine(notify func(rrpeer.Quarantine)) Option {
	return func(o *Owner) { o.onQuarantine = notify }
}

// Quarantine applies a quarantine that was decided elsewhere to all shards, including
// those that start later.
func (o *Owner) Quarantine(q rrpeer.Quarantine) {
	now := o.clock()
	until := now.Add(q.TimeLeft.Std())
	o.mu.Lock()
	maps.DeleteFunc(o.quarantined, func(_ rrunit.Fingerprint, end rrunit.Instant) bool { return end <= now })
	if until <= max(now, o.quarantined[q.Fingerprint]) {
		o.mu.Unlock()
		return
	}
	o.quarantined[q.Fingerprint] = until
	shards := slices.Collect(maps.Values(o.shards))
	o.mu.Unlock()
	for _, s := range shards {
		s.step(func(now rrunit.Instant) []rrdispatch.Action {
			return s.core.Quarantine(now, q.Fingerprint, until)
		})
	}
}

// quarantineAndAnnounce applies a quarantine that one of the owner's shards decided on
// to all shards, and announces it.
func (o *Owner) quarantineAndAnnounce(q rrpeer.Quarantine) {
	o.Quarantine(q)
	if o.onQuarantine != nil {
		o.onQuarantine(q)
	}
}

// applyKnownQuarantines applies the known quarantines to a new shard. The caller holds
// mu.
func (o *Owner) applyKnownQuarantines(s *shard) {
	for fingerprint, until := range o.quarantined {
		s.step(func(now rrunit.Instant) []rrdispatch.Action {
			return s.core.Quarantine(now, fingerprint, until)
		})
	}
}
