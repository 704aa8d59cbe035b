package rrquarantine

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// addUntold adds a loss to those that other daemons are to be told of.
// A request that is sent to many services at once may be lost at all of them, which counts
// as one loss. The caller holds mu.
func (t *Tracker) addUntold(now rrunit.Instant, s *suspect, l Loss) {
	if l.Isolation == IsolationUnsuspected && len(s.searchers) > 0 {
		return
	}
	if len(t.untold) == maxUntold {
		t.untold = slices.Delete(t.untold, 0, 1)
	}
	t.untold = append(t.untold, untoldLoss{fingerprint: l.Fingerprint, service: l.Service, searcher: l.Searcher, at: now})
}

// RecordUnanswered records that a request ended without an answer after its losses, so that
// other daemons need not wait for one, and reports whether they have to be told of it.
func (t *Tracker) RecordUnanswered(f rrunit.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isUntold := false
	for i := range t.untold {
		if t.untold[i].fingerprint == f {
			t.untold[i].isDue, isUntold = true, true
		}
	}
	return isUntold
}

// TakeUnanswered calls f with the losses, each once, whose request ended without an answer, or
// was not answered for unansweredTime.
func (t *Tracker) TakeUnanswered(now rrunit.Instant, f func(rrunit.Fingerprint, rrunit.ServiceName, rrunit.SearcherID)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.untold = slices.DeleteFunc(t.untold, func(l untoldLoss) bool {
		if !l.isDue && now.Sub(l.at) < unansweredTime {
			return false
		}
		if s := t.suspects[l.fingerprint]; s != nil && slices.Contains(s.services, l.service) {
			f(l.fingerprint, l.service, l.searcher)
		}
		return true
	})
}

// AddPeerLoss makes a request suspect that another daemon has lost at the searcher. By itself
// it decides nothing, and shows no common cause, as it is told some time later; beside a
// loss of this daemon it counts like one that is no proof.
func (t *Tracker) AddPeerLoss(now rrunit.Instant, fingerprint rrunit.Fingerprint, service rrunit.ServiceName, id rrunit.SearcherID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspect(now, fingerprint)
	if s.addLoss(service, id) {
		s.peerLosses++
		s.isProven = false
	}
}
