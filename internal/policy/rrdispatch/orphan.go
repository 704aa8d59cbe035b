package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
)

// checkInterval is how often a searcher is checked while it may still run attempts that were
// abandoned.
const checkInterval = 150 * time.Millisecond

// recordOrphan records an attempt that was given up before its answer. The searcher may
// still run it, and end, when no attempt is left whose connection could show it.
func (s *Shard) recordOrphan(now rrunit.Instant, a *attempt) {
	if a.overtaken {
		// Another searcher has answered the job.
		return
	}
	w := a.searcher
	l := rrquarantine.Loss{Fingerprint: a.fingerprint, Service: s.cfg.Service, Searcher: w.ID, Isolation: a.isolation()}
	s.suspects.RecordOrphan(now, l, now.Sub(a.startedAt))
	w.orphanUntil = now.Add(rrquarantine.OrphanTime)
	s.requestCheck(w)
}

// mayRunOrphan reports whether the searcher may still run an attempt that was abandoned.
func (w *searcher) mayRunOrphan(now rrunit.Instant) bool {
	return now < w.orphanUntil
}

// requestCheck requests a check of the searcher unless one is pending.
func (s *Shard) requestCheck(w *searcher) {
	if !s.isShared() || w.checkPending {
		return
	}
	w.checkPending = true
	s.emit(Action{Kind: ActionCheck, Searcher: w.ID, After: rrunit.Duration(checkInterval)})
}

// CheckResult is what a check of a searcher found.
type CheckResult string

// The results of a check.
const (
	CheckDead  CheckResult = "dead"
	CheckAlive CheckResult = "alive"
	// CheckSkipped means that the searcher is not listed any more, and was not checked.
	CheckSkipped CheckResult = "skipped"
)

// RecordCheck records the result of a check that an ActionCheck has requested.
func (s *Shard) RecordCheck(now rrunit.Instant, id rrunit.SearcherID, found CheckResult) []Action {
	s.begin(now)
	w := s.findNotified(id)
	if w != nil {
		w.checkPending = false
	}
	switch found {
	case CheckDead:
		if w != nil {
			w.refusedDraining = false
			w.markDown(now, s.rng.Float64())
		}
		s.recordOrphanLosses(now, s.suspects.TakeOrphans(now, id))
	case CheckAlive:
		s.suspects.RecordAlive(now, id)
		if w != nil && w.mayRunOrphan(now) {
			s.requestCheck(w)
		}
	case CheckSkipped:
	}
	return s.end(now)
}

// recordOrphanLosses records that the searcher of attempts that were abandoned was lost.
func (s *Shard) recordOrphanLosses(now rrunit.Instant, losses []rrquarantine.Loss) {
	for _, l := range losses {
		s.emit(Action{Kind: ActionSuspect, Searcher: l.Searcher, Fingerprint: l.Fingerprint})
		s.recordOneLoss(now, l)
	}
}
