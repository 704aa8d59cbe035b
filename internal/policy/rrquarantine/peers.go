package rrquarantine

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// addUntold adds a loss to those that other daemons are to be told of.
func (t *Tracker) addUntold(now rrunit.Instant, l Loss) {
	if len(t.untold) == maxUntold {
		t.untold = slices.Delete(t.untold, 0, 1)
	}
	t.untold = append(t.untold, untoldLoss{fingerprint: l.Fingerprint, searcher: l.Searcher, at: now})
}

// TakeUnanswered calls f with the losses, each once, whose request nobody has answered for
// unansweredTime.
func (t *Tracker) TakeUnanswered(now rrunit.Instant, f func(rrunit.Fingerprint, rrunit.SearcherID)) {
	due := 0
	for due < len(t.untold) && now.Sub(t.untold[due].at) >= unansweredTime {
		l := t.untold[due]
		due++
		if s := t.suspects[l.fingerprint]; s != nil && slices.Contains(s.searchers, l.searcher) {
			f(l.fingerprint, l.searcher)
		}
	}
	t.untold = slices.Delete(t.untold, 0, due)
}

// AddPeerLoss makes a request suspect that another daemon has lost at the searcher. By itself
// it decides nothing, and shows no common cause, as it is told some time later; beside a
// loss of this daemon it counts like one that is no proof.
func (t *Tracker) AddPeerLoss(now rrunit.Instant, fingerprint rrunit.Fingerprint, id rrunit.SearcherID) {
	s := t.suspect(now, fingerprint)
	if !slices.Contains(s.searchers, id) {
		s.searchers = append(s.searchers, id)
		s.peerLosses++
	}
}
