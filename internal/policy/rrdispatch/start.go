package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
)

// enqueue adds the job to the queue. again is set if the job was queued before, or is
// hedged.
func (s *Shard) enqueue(j *job, again bool) {
	at := rrqueue.Spec[laneKey]{
		Rank:    s.queueRank(j),
		Key:     s.laneOf(j),
		Caller:  j.Caller,
		Since:   j.arrivedAt,
		SortKey: s.queueOrder(j),
		Exempt:  again,
	}
	if !s.queue.Push(&j.entry, at) {
		s.reply(j, rrquery.ReasonOverload, s.overloadRetryAfter(j.Rank))
		return
	}
	s.updateTimer(j)
}

// startJob sends a job that was just picked from the queue as placed says. It replies to the job instead if
// it was quarantined or expired meanwhile, and queues it again if it became suspect or, being
// suspect, began at another service.
func (s *Shard) startJob(now rrunit.Instant, j *job) {
	hedge := len(j.running) > 0
	if now >= j.Deadline {
		s.reply(j, rrquery.ReasonDeadline, 0)
		return
	}
	state, until := s.suspects.State(now, j.Fingerprint)
	if state != rrquarantine.StateClear && hedge {
		return
	}
	switch {
	case state == rrquarantine.StateQuarantined:
		s.reply(j, rrquery.ReasonQuarantine, until.Sub(now))
		return
	case state != rrquarantine.StateClear && !j.entry.Spec().Key.suspect:
		s.enqueue(j, true)
		return
	}
	if hedge && !s.chargeHedge(now, j) {
		return
	}
	if s.placed.suspect && !s.suspects.BeginTrial(now, j.Fingerprint) {
		s.enqueue(j, true)
		return
	}
	s.send(now, j, s.placed)
}

// chargeHedge takes a second attempt from the budget and reports whether it could. If
// the budget is empty, the hedge is scheduled again for half of the time left. Then it may
// overdraw the budget within limits, as the first attempt is most likely lost.
func (s *Shard) chargeHedge(now rrunit.Instant, j *job) bool {
	if s.isShared() {
		return s.chargeSharedHedge(now, j)
	}
	if s.budget.Spend(s.budgetReserve(j.Rank)) {
		return true
	}
	if j.lateHedge {
		return s.budget.Overdraw(s.budget.MaxOverdraft() / 2)
	}
	s.scheduleLateHedge(now, j)
	s.updateTimer(j)
	return false
}

// budgetReserve returns the tokens that jobs of the rank leave in the budget for more
// urgent ranks.
func (s *Shard) budgetReserve(rank int) float64 {
	return s.budget.Burst() * float64(rank) / float64(2*len(s.ranks))
}

// send starts an attempt.
func (s *Shard) send(now rrunit.Instant, j *job, p placement) {
	w := p.searcher
	s.lastAttempt++
	a := s.newAttempt()
	*a = attempt{
		id:          s.lastAttempt,
		searcher:    w,
		job:         j,
		rank:        j.Rank,
		version:     j.Version,
		fingerprint: j.Fingerprint,
		startedAt:   now,
		connectTime: w.connectTime(),
		suspect:     p.suspect,
		alone:       p.alone,
	}
	w.useConnection(now)
	s.spendQuota(now, j.Rank, w)
	s.attempts[a.id] = a
	w.running = append(w.running, a)
	w.runsSuspect = p.suspect
	w.reserved = false
	s.ranks[j.Rank].running++
	if j.attemptsSent == 0 {
		s.creditBudget(now)
	}
	j.attemptsSent++
	j.attemptsUsed++
	j.tried |= w.bit
	j.running = append(j.running, a)
	s.scheduleHedge(now, j)
	s.updateTimer(j)
	action := Action{Kind: ActionSend, Job: j.ID, Attempt: a.id, Searcher: w.ID}
	if s.isShared() {
		action.Isolation = a.isolation()
	}
	s.emit(action)
}

// creditBudget counts the first attempt of a job, which increases the budget.
func (s *Shard) creditBudget(now rrunit.Instant) {
	if s.isShared() {
		s.sharedBudget.Earn(now)
		return
	}
	s.budget.Earn()
}

// scheduleHedge sets when a further attempt is due, if one is allowed. A third one is
// due when half of the time left has passed.
func (s *Shard) scheduleHedge(now rrunit.Instant, j *job) {
	j.hedgeAt = 0
	switch {
	case s.tuning.NoHedge || !j.Idempotent || j.isExhausted() || j.running[0].suspect:
	case len(j.running) == 1:
		j.hedgeAt = now.Add(s.hedgeDelay(now, j))
	case !j.lateHedge:
		s.scheduleLateHedge(now, j)
	}
}

func (s *Shard) scheduleLateHedge(now rrunit.Instant, j *job) {
	j.lateHedge = true
	j.hedgeAt = now.Add(j.Deadline.Sub(now) / 2)
}

// enqueueHedge queues the job for a further attempt, before all jobs of its rank that
// arrived later.
func (s *Shard) enqueueHedge(now rrunit.Instant, j *job) {
	j.hedgeAt = 0
	for _, a := range j.running {
		s.markOverdue(a)
	}
	if j.isExhausted() {
		return
	}
	if s.postponeHedge(now, j) {
		return
	}
	if s.isShared() && j.isPastTarget(now) && !j.lateHedge {
		s.scheduleLateHedge(now, j)
		return
	}
	key := s.laneOf(j)
	if j.lateHedge && !s.canServe(now, key) {
		// The job was sent to all searchers that may serve it, and half of the time left
		// has passed. It may be sent to them again, so that it is not late for lack of a
		// retry.
		j.tried = 0
		key = s.laneOf(j)
	}
	if key.suspect || !s.canServe(now, key) {
		return
	}
	s.enqueue(j, true)
}
