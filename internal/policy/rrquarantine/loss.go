package rrquarantine

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// RecordLoss records the loss of an attempt. It returns the quarantine and true if the
// request is quarantined at once.
func (t *Tracker) RecordLoss(now rrunit.Instant, l Loss) (Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordIncident(now, l.Searcher)
	s := t.suspect(now, l.Fingerprint)
	t.addUntold(now, s, l)
	s.addLoss(l.Service, l.Searcher)
	s.isProven = false
	s.heldUntil = now.Add(holdTime)
	t.cancelPending(now, l.Searcher)
	if now < t.quarantined[l.Fingerprint] {
		// It was sent before its quarantine.
		return Quarantine{}, false
	}
	if s.quarantines > 0 {
		return t.quarantine(now, l.Fingerprint), true
	}
	t.extend(s, l.Fingerprint, now.Add(t.duration))
	switch {
	case l.Isolation == IsolationUnsuspected:
		return Quarantine{}, false
	case t.isProof(s, l.Isolation):
		s.decideAt = now.Add(decisionDelay)
		t.pending = append(t.pending, timedFingerprint{fingerprint: l.Fingerprint, at: s.decideAt})
		return Quarantine{}, false
	}
	s.inconclusive++
	if s.inconclusive+s.peerLosses-s.survived < maxInconclusive {
		return Quarantine{}, false
	}
	return t.quarantine(now, l.Fingerprint), true
}

// isProof reports whether the loss of a suspect proves that it is the cause.
func (t *Tracker) isProof(s *suspect, isolation Isolation) bool {
	switch isolation {
	case IsolationAlone:
	case IsolationOrphaned:
		s.orphanedLosses++
		if s.orphanedLosses < minOrphanedLosses {
			return false
		}
	default:
		return false
	}
	return s.survived == 0 && !t.commonCause(s)
}

// NextTick returns when Tick is due, or false if no decision is pending.
func (t *Tracker) NextTick() (rrunit.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return 0, false
	}
	return t.pending[0].at, true
}

// Tick makes the decisions that are due, returns the new quarantines, and drops
// expired suspects.
func (t *Tracker) Tick(now rrunit.Instant) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Quarantine
	for len(t.pending) > 0 && t.pending[0].at <= now {
		p := t.pending[0]
		t.pending = t.pending[1:]
		if s := t.suspects[p.fingerprint]; s != nil && s.decideAt == p.at {
			out = append(out, t.quarantine(now, p.fingerprint))
		}
	}
	t.expire(now)
	return out
}

// quarantine quarantines the request for the set duration, or longer if it was quarantined
// before. The searchers that it has crashed show no common cause for the losses of others any more.
func (t *Tracker) quarantine(now rrunit.Instant, f rrunit.Fingerprint) Quarantine {
	duration := t.duration
	if s := t.suspects[f]; s != nil {
		duration <<= min(prolongShift*s.quarantines, maxProlongShift)
		t.incidents = slices.DeleteFunc(t.incidents, func(i incident) bool { return slices.Contains(s.searchers, i.searcher) })
	}
	q := Quarantine{Fingerprint: f, Until: now.Add(duration)}
	t.add(now, f, q.Until)
	return q
}

// addLoss adds the searcher to those that were lost and reports whether it is new.
func (s *suspect) addLoss(service rrunit.ServiceName, id rrunit.SearcherID) bool {
	if !slices.Contains(s.services, service) {
		s.services = append(s.services, service)
	}
	if slices.Contains(s.searchers, id) {
		return false
	}
	s.searchers = append(s.searchers, id)
	return true
}

// recordIncident records the loss of a searcher, and drops incidents older than
// commonCauseTime. Attempts that are lost at one searcher are one incident.
func (t *Tracker) recordIncident(now rrunit.Instant, id rrunit.SearcherID) {
	old := 0
	for old < len(t.incidents) && now.Sub(t.incidents[old].at) > commonCauseTime {
		old++
	}
	t.incidents = slices.Delete(t.incidents, 0, old)
	for i := range t.incidents {
		if t.incidents[i].searcher == id {
			t.incidents = slices.Delete(t.incidents, i, i+1)
			break
		}
	}
	t.incidents = append(t.incidents, incident{searcher: id, at: now})
}

// commonCause reports whether a searcher that did not run the suspect was lost
// within commonCauseTime, so that the suspect may not be the cause.
func (t *Tracker) commonCause(s *suspect) bool {
	return slices.ContainsFunc(t.incidents, func(i incident) bool {
		return !slices.Contains(s.searchers, i.searcher)
	})
}

// cancelPending cancels the pending decisions on suspects that did not run at this
// searcher: its loss points to a common cause, which makes theirs inconclusive.
func (t *Tracker) cancelPending(now rrunit.Instant, id rrunit.SearcherID) {
	for _, p := range t.pending {
		s := t.suspects[p.fingerprint]
		if s == nil || s.decideAt != p.at || now >= p.at || slices.Contains(s.searchers, id) {
			continue
		}
		s.decideAt = 0
		s.inconclusive++
	}
}

// suspect returns the record of the request, which it creates if missing or
// expired.
func (t *Tracker) suspect(now rrunit.Instant, f rrunit.Fingerprint) *suspect {
	if s := t.suspects[f]; s != nil && now < s.expiresAt {
		return s
	}
	return t.addSuspect(now, f, now.Add(t.duration))
}

func (t *Tracker) addSuspect(now rrunit.Instant, f rrunit.Fingerprint, expiresAt rrunit.Instant) *suspect {
	s := &suspect{}
	t.suspects[f] = s
	t.extend(s, f, expiresAt)
	t.expire(now)
	return s
}

// extend sets when the suspect expires, unless it expires later.
func (t *Tracker) extend(s *suspect, f rrunit.Fingerprint, expiresAt rrunit.Instant) {
	if expiresAt <= s.expiresAt {
		return
	}
	s.expiresAt = expiresAt
	t.expiryQueue = append(t.expiryQueue, timedFingerprint{fingerprint: f, at: expiresAt})
}

// expire drops expired suspects, and the oldest ones above maxSuspects.
func (t *Tracker) expire(now rrunit.Instant) {
	for len(t.expiryQueue) > 0 && (t.expiryQueue[0].at <= now || len(t.expiryQueue) > maxSuspects) {
		o := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		if s := t.suspects[o.fingerprint]; s != nil && s.expiresAt == o.at {
			delete(t.suspects, o.fingerprint)
		}
	}
}
