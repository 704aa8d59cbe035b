package rrfollow

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// quarantineRelayTime is how long a quarantine is passed on: long enough for two
// requests in a row to be lost on each of the two hops to any other daemon.
const quarantineRelayTime = 5 * time.Second

// quarantine is a request that was found to crash searchers.
type quarantine struct {
	fingerprint rrunit.Fingerprint
	until       rrunit.Instant
	// addedAt is when this daemon decided on it or received it.
	addedAt rrunit.Instant
}

// AnnounceQuarantine passes a quarantine that this daemon decided on to the other daemons.
func (f *Follower) AnnounceQuarantine(q rrpeer.Quarantine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addQuarantine(q)
}

// addQuarantine adds a quarantine to those that are passed on and reports whether it
// is new. The caller holds mu.
func (f *Follower) addQuarantine(q rrpeer.Quarantine) bool {
	now := f.clock()
	f.quarantines = slices.DeleteFunc(f.quarantines, func(known quarantine) bool { return now.Sub(known.addedAt) > quarantineRelayTime })
	if slices.ContainsFunc(f.quarantines, func(known quarantine) bool { return known.fingerprint == q.Fingerprint }) {
		return false
	}
	if len(f.quarantines) >= rrpeer.MaxDigestQuarantines {
		f.quarantines = f.quarantines[1:]
	}
	f.quarantines = append(f.quarantines, quarantine{fingerprint: q.Fingerprint, until: now.Add(q.TimeLeft.Std()), addedAt: now})
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

// recentQuarantines returns the quarantines to pass on, without those that the
// requester has. The caller holds mu.
func (f *Follower) recentQuarantines(known []rrpeer.Quarantine) []rrpeer.Quarantine {
	now := f.clock()
	var out []rrpeer.Quarantine
	for _, entry := range f.quarantines {
		isKnown := slices.ContainsFunc(known, func(q rrpeer.Quarantine) bool { return q.Fingerprint == entry.fingerprint })
		if left := entry.until.Sub(now); left > 0 && !isKnown && now.Sub(entry.addedAt) <= quarantineRelayTime {
			out = append(out, rrpeer.Quarantine{Fingerprint: entry.fingerprint, TimeLeft: rrunit.Duration(left)})
		}
	}
	return out
}
