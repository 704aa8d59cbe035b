package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
)

// reserveTime is how long a searcher is kept free at most until its last
// attempts end, before a suspect runs there beside others.
const maxReserveTime = 50 * time.Millisecond

// suspectReady reports whether a job of a suspect lane can be sent now.
func (s *Shard) isSuspectReady(key laneKey) bool {
	state, until := s.suspects.State(s.now, key.fingerprint)
	switch state {
	case rrquarantine.StateHeld:
		if s.suspectHeldUntil == 0 || until < s.suspectHeldUntil {
			s.suspectHeldUntil = until
		}
		return false
	case rrquarantine.StateSuspect:
		if s.isRunning(key.fingerprint) {
			return false
		}
		w, _ := s.chooseForSuspect(s.now, key)
		if w == nil && !s.needsIdle {
			s.needsIdle, s.needsIdleLane = true, key
		}
		return w != nil
	default:
		// Cleared or quarantined meanwhile: start decides.
		return state == rrquarantine.StateQuarantined || s.chooseSearcher(s.now, len(s.ranks)-1, key) != nil
	}
}

// runs reports whether a request of the fingerprint is under way. It looks at
// the slots in use, and only for suspects.
func (s *Shard) isRunning(f rrunit.Fingerprint) bool {
	return slices.ContainsFunc(s.searchers, func(w *searcher) bool { return w.isRunning(f) }) ||
		slices.ContainsFunc(s.removed, func(w *searcher) bool { return w.isRunning(f) })
}

func (w *searcher) isRunning(f rrunit.Fingerprint) bool {
	return slices.ContainsFunc(w.running, func(a *attempt) bool { return a.fingerprint == f })
}

// chooseForSuspect returns an idle searcher that can serve the lane, and
// whether its loss would prove the cause. One that is up goes before one that
// was down.
func (s *Shard) chooseForSuspect(now rrunit.Instant, key laneKey) (w *searcher, alone bool) {
	for _, c := range s.searchers {
		if key.tried&c.bit != 0 || !c.mayServe(key.version, now) || !c.canStartSuspect(now) {
			continue
		}
		idle := len(c.running) == 0
		if idle && c.health == healthUp {
			return c, true
		}
		if w == nil || idle && len(w.running) > 0 {
			w = c
		}
	}
	return w, false
}

// freeForSuspect reports whether the searcher takes a suspect now: idle, or
// reserved for too long.
func (w *searcher) canStartSuspect(now rrunit.Instant) bool {
	if w.isClosed() || w.runsSuspect || now < w.retryAt || len(w.running) >= w.currentLimit() {
		return false
	}
	return len(w.running) == 0 || w.reserved && now >= w.reservedAt.Add(maxReserveTime)
}

// reserve keeps one searcher free while a suspect waits for an idle one.
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

// canReserve reports whether the suspect that waits can run at the searcher.
func (s *Shard) canReserve(now rrunit.Instant, w *searcher) bool {
	return !w.runsSuspect && w.health == healthUp && s.needsIdleLane.tried&w.bit == 0 && w.mayServe(s.needsIdleLane.version, now)
}

// quarantine refuses a request from now on.
func (s *Shard) emitQuarantine(now rrunit.Instant, q rrquarantine.Quarantine) {
	s.emit(Action{
		Kind:        ActionQuarantine,
		Fingerprint: q.Fingerprint,
		Retry:       rrunit.Duration(q.Until.Sub(now)),
	})
	s.refuseQuarantined(now, q.Fingerprint, q.Until)
}

// refuseQuarantined answers the jobs of the fingerprint that wait as suspects.
// Others of it are refused when their turn comes.
func (s *Shard) refuseQuarantined(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) {
	gone := func(key laneKey) bool { return key.suspect && key.fingerprint == f }
	s.queue.Drain(gone, func(e *rrqueue.Entry[laneKey, *job]) {
		s.reply(e.Value, rrquery.ReasonQuarantine, until.Sub(now))
	})
}
