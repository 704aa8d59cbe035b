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

// TakeUnanswered calls f with the losses, each once, whose request nobody has answered for
// unansweredTime.
func (t *Tracker) TakeUnanswered(now rrunit.Instant, f func(rrunit.Fingerprint, rrunit.ServiceName, rrunit.SearcherID)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := 0
	for due < len(t.untold) && now.Sub(t.untold[due].at) >= unansweredTime {
		l := t.untold[due]
		due++
		if s := t.suspects[l.fingerprint]; s != nil && slices.Contains(s.services, l.service) {
			f(l.fingerprint, l.service, l.searcher)
		}
	}
	t.untold = slices.Delete(t.untold, 0, due)
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
