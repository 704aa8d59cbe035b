package rrfollow

import (
	"cmp"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// quarantine is a request that was found to crash searchers.
type quarantine struct {
	fingerprint rrunit.Fingerprint
	until       rrunit.Instant
}

// AnnounceQuarantine passes a quarantine that this daemon decided on to the other daemons.
func (f *Follower) AnnounceQuarantine(q rrpeer.Quarantine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addQuarantine(q)
}

// addQuarantine adds a quarantine to those that are passed on and reports whether it
// is new. Above rrpeer.MaxDigestQuarantines all daemons keep the same ones, those of the
// least fingerprints, so that they don't send each other the rest again and again. The
// caller holds mu.
func (f *Follower) addQuarantine(q rrpeer.Quarantine) bool {
	now := f.clock()
	f.quarantines = slices.DeleteFunc(f.quarantines, func(known quarantine) bool { return known.until <= now })
	i, known := slices.BinarySearchFunc(f.quarantines, q.Fingerprint, func(known quarantine, of rrunit.Fingerprint) int {
		return cmp.Compare(known.fingerprint, of)
	})
	if known || i >= rrpeer.MaxDigestQuarantines {
		return false
	}
	f.quarantines = slices.Insert(f.quarantines, i, quarantine{fingerprint: q.Fingerprint, until: now.Add(q.TimeLeft.Std())})
	f.quarantines = f.quarantines[:min(len(f.quarantines), rrpeer.MaxDigestQuarantines)]
	f.notifyWaiters()
	return true
}

// addPeerQuarantines adds the quarantines of another daemon and applies the new ones
// to this daemon's own dispatchers.
func (f *Follower) addPeerQuarantines(quarantines []rrpeer.Quarantine) {
	for _, q := range quarantines {
		f.mu.Lock()
		isNew := f.addQuarantine(q)
		f.mu.Unlock()
		if isNew {
			f.cfg.Quarantine(q)
		}
	}
}

// activeQuarantines returns the active quarantines, without those that the requester has.
// The caller holds mu.
func (f *Follower) activeQuarantines(known []rrpeer.Quarantine) []rrpeer.Quarantine {
	now := f.clock()
	var out []rrpeer.Quarantine
	for _, entry := range f.quarantines {
		isKnown := slices.ContainsFunc(known, func(q rrpeer.Quarantine) bool { return q.Fingerprint == entry.fingerprint })
		if left := entry.until.Sub(now); left > 0 && !isKnown {
			out = append(out, rrpeer.Quarantine{Fingerprint: entry.fingerprint, TimeLeft: rrunit.Duration(left)})
		}
	}
	return out
}
