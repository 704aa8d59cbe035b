package rrdispatch

// Abandon drops all jobs and attempts without a reply, after an error has left them in an
// unknown state. The caller replies to the jobs, and cancels the attempts, whose ends are
// then ignored. What is known of searchers and requests stays, as do the budgets.
func (s *Shard) Abandon() {
	for _, a := range s.attempts {
		if a.suspect {
			s.suspects.EndTrial(a.fingerprint)
		}
	}
	clear(s.jobs)
	clear(s.attempts)
	s.timers, s.freeJobs, s.freeAttempts = nil, nil, nil
	s.actions, s.placed = nil, placement{}
	s.suspectHeldUntil, s.needsIdle, s.recheckWaiting, s.recheckPauses = 0, false, false, false
	for _, w := range s.removed {
		s.rememberUnlisted(w)
	}
	s.removed = nil
	for _, w := range s.searchers {
		w.running, w.runsSuspect, w.reserved, w.checkPending = nil, false, false, false
	}
	s.configureRanks()
	for i, r := range s.ranks {
		r.running = 0
		s.setCost(i, max(1, r.slotTime))
	}
}
