package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
)

// maxReserveTime is how long a reserved searcher may take to become idle before a suspect
// runs there beside other attempts.
const maxReserveTime = 50 * time.Millisecond

// isSuspectReady reports whether a job of a suspect lane can be sent now.
func (s *Shard) isSuspectReady(rank int, key laneKey) bool {
	state, until := s.suspects.State(s.now, key.fingerprint)
	switch state {
	case rrquarantine.StateHeld:
		if s.suspectHeldUntil == 0 || until < s.suspectHeldUntil {
			s.suspectHeldUntil = until
		}
		return false
	case rrquarantine.StateQuarantined:
		// startJob replies to the job.
		return true
	case rrquarantine.StateSuspect:
		if s.isRunning(key.fingerprint) {
			return false
		}
		w, alone := s.chooseForSuspect(s.now, key)
		if w == nil && !s.needsIdle {
			s.needsIdle, s.needsIdleLane = true, key
		}
		return s.place(placement{searcher: w, suspect: true, alone: alone})
	default:
		// The fingerprint was cleared meanwhile.
		return s.place(placement{searcher: s.chooseSearcher(s.now, rank, key)})
	}
}

// isRunning reports whether a request of the fingerprint is in flight. It visits all
// attempts, but is used for suspects only.
func (s *Shard) isRunning(f rrunit.Fingerprint) bool {
	return slices.ContainsFunc(s.searchers, func(w *searcher) bool { return w.isRunning(f) }) ||
		slices.ContainsFunc(s.removed, func(w *searcher) bool { return w.isRunning(f) })
}

func (w *searcher) isRunning(f rrunit.Fingerprint) bool {
	return slices.ContainsFunc(w.running, func(a *attempt) bool { return a.fingerprint == f })
}

// chooseForSuspect returns a searcher for a suspect of the lane, and whether a loss there
// would prove that the suspect caused it: that needs an idle searcher that is up and does not
// run what was abandoned, which is preferred.
func (s *Shard) chooseForSuspect(now rrunit.Instant, key laneKey) (w *searcher, alone bool) {
	n := len(s.searchers)
	for i := range n {
		// Daemons that all began with the first would run their suspects at the same one.
		c := s.searchers[(i+int(s.lastAttempt%MaxSearchers))%n]
		if key.tried&c.bit != 0 || !c.mayServe(key.version, now) || !c.canStartSuspect(now) {
			continue
		}
		idle := len(c.running) == 0
		if idle && c.health == healthUp && !c.mayRunOrphan(now) {
			return c, true
		}
		if w == nil || idle && len(w.running) > 0 {
			w = c
		}
	}
	return w, false
}

// canStartSuspect reports whether the searcher can start a suspect now: it is idle, or
// was reserved for maxReserveTime.
func (w *searcher) canStartSuspect(now rrunit.Instant) bool {
	if w.isClosed() || w.runsSuspect || !w.hasQuota(now) || now < w.retryAt || len(w.running) >= w.currentLimit() {
		return false
	}
	return len(w.running) == 0 || w.reserved && now >= w.reservedAt.Add(maxReserveTime)
}

// reserveForSuspect reserves one searcher while a suspect waits for an idle one.
func (s *Shard) reserveForSuspect(now rrunit.Instant) {
	var best *searcher
	for _, w := range s.searchers {
		usable := s.needsIdle && s.canReserve(now, w)
		if w.reserved && usable {
			return
		}
		w.reserved = false
		if usable && (best == nil || len(w.running) < len(best.running)) {
			best = w
		}
	}
	if best != nil {
		best.reserved = true
		best.reservedAt = now
	}
}

// canReserve reports whether the waiting suspect can run at the searcher.
func (s *Shard) canReserve(now rrunit.Instant, w *searcher) bool {
	return !w.runsSuspect && w.health == healthUp && s.needsIdleLane.tried&w.bit == 0 && w.mayServe(s.needsIdleLane.version, now)
}

// emitQuarantine starts a quarantine and reports it.
func (s *Shard) emitQuarantine(now rrunit.Instant, q rrquarantine.Quarantine) {
	s.emit(Action{
		Kind:        ActionQuarantine,
		Fingerprint: q.Fingerprint,
		RetryAfter:  rrunit.Duration(q.Until.Sub(now)),
	})
	s.refuseQuarantined(now, q.Fingerprint, q.Until)
}

// refuseQuarantined replies to the jobs of the fingerprint that wait as suspects. Other
// waiting jobs of it are refused when they are picked from the queue.
func (s *Shard) refuseQuarantined(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) {
	waitsAsSuspect := func(key laneKey) bool { return key.suspect && key.fingerprint == f }
	s.queue.Drain(waitsAsSuspect, func(e *rrqueue.Entry[laneKey, *job]) {
		s.reply(e.Value, rrquery.ReasonQuarantine, until.Sub(now))
	})
}

// HoldHedge postpones the second attempt of a job for the time, while it is found out whether
// the request ended the searcher of the first. The second would end another one.
func (s *Shard) HoldHedge(now rrunit.Instant, id AttemptID, wait time.Duration) {
	s.begin(now)
	a := s.attempts[id]
	if a == nil || a.job == nil {
		return
	}
	j := a.job
	until := now.Add(wait)
	switch {
	case j.entry.Queued():
		s.queue.Remove(&j.entry)
		j.hedgeAt = until
	case j.hedgeAt != 0:
		j.hedgeAt = max(j.hedgeAt, until)
	}
	s.updateTimer(j)
}
