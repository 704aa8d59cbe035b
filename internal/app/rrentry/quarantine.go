package rrentry

import (
	"maps"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxQuarantines is the maximum number of quarantines at one time. Beyond it, the one
// that would expire first is dropped.
const maxQuarantines = 1024

// quarantines has, by fingerprint, until when requests are refused. It is immutable.
type quarantines map[rrunit.Fingerprint]rrunit.Instant

// Quarantine refuses requests with the fingerprint for the time given. It reports
// whether the quarantine is new.
func (e *Entry) Quarantine(q rrpeer.Quarantine) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	until := now.Add(q.TimeLeft.Std())
	before := e.loadQuarantines()
	isActive := now < before[q.Fingerprint]
	if until <= before[q.Fingerprint] {
		return false
	}
	updated := maps.Clone(before)
	if updated == nil {
		updated = make(quarantines)
	}
	maps.DeleteFunc(updated, func(_ rrunit.Fingerprint, until rrunit.Instant) bool { return until <= now })
	updated[q.Fingerprint] = until
	if len(updated) > maxQuarantines {
		delete(updated, updated.firstToExpire())
	}
	e.quarantines.Store(&updated)
	return !isActive
}

// firstToExpire returns the fingerprint whose quarantine ends first.
func (q quarantines) firstToExpire() rrunit.Fingerprint {
	var first rrunit.Fingerprint
	found := false
	for fingerprint, until := range q {
		if !found || until < q[first] || (until == q[first] && fingerprint < first) {
			first, found = fingerprint, true
		}
	}
	return first
}

// Quarantines returns the active quarantines.
func (e *Entry) Quarantines() []rrpeer.Quarantine {
	now := e.clock()
	var out []rrpeer.Quarantine
	for fingerprint, until := range e.loadQuarantines() {
		if now < until {
			out = append(out, rrpeer.Quarantine{Fingerprint: fingerprint, TimeLeft: rrunit.Duration(until.Sub(now))})
		}
	}
	return out
}

// loadQuarantines returns all quarantines, including expired ones.
func (e *Entry) loadQuarantines() quarantines {
	if q := e.quarantines.Load(); q != nil {
		return *q
	}
	return nil
}

// refuseQuarantined returns the refusal of a quarantined request, or nil.
func (e *Entry) refuseQuarantined(r *queryRun) *rrquery.Answer {
	quarantined := e.loadQuarantines()
	if len(quarantined) == 0 {
		return nil
	}
	left := quarantined[r.fingerprint].Sub(e.clock())
	if left <= 0 {
		return nil
	}
	a := refuse(r.def, r.query, rrquery.ReasonQuarantine)
	a.Message = "requests like this one crash the searchers that run them"
	a.RetryAfter = rrunit.Duration(left)
	return a
}
