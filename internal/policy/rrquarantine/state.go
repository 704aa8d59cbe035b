package rrquarantine

import (
	"maps"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// ActiveQuarantines returns the active quarantines: fingerprints, and until
// when they are refused.
func (t *Tracker) ActiveQuarantines(now rrunit.Instant) map[rrunit.Fingerprint]rrunit.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.quarantined)
	maps.DeleteFunc(out, func(_ rrunit.Fingerprint, until rrunit.Instant) bool { return now >= until })
	return out
}
