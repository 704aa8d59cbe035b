package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// maxRounds is how often a job that every searcher turned away as busy asks
// them all.
const maxRounds = 2

// maxUnread is how many new connections may be reset at once under a job before that
// counts as an attempt: one to each searcher of a shard, twice.
const maxConnectResets = 6

// settle decides what the end of its attempt means for the job.
func (s *Shard) finishAttempt(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	j := a.job
	j.removeAttempt(a)
	if outcome == rrupstream.OutcomeAnswered {
		s.replyAnswered(now, j, a)
		return
	}
	unread := s.recordConnectReset(j, a, outcome)
	if outcome.NotRun() || unread {
		j.attemptsUsed--
	}
	if !outcome.NotRun() {
		j.runState = rrpeer.RunMaybe
	}
	j.lastOutcome = outcome
	if outcome == rrupstream.OutcomeStale && !s.canServe(now, s.laneOf(j)) {
		// The searcher may well take it on another connection.
		j.tried &^= a.searcher.bit
	}
	switch {
	case outcome == rrupstream.OutcomeRejected:
		s.reply(j, rrquery.ReasonRejected, 0)
	case len(j.running) > 0:
		s.resumeRemaining(now, j)
	default:
		s.retry(now, j, outcome, unread)
	}
}

// takeUnread reports whether a searcher that accepts no more connections has reset a new
// one before it can have read the request, which costs it no work. It is so just after
// many daemons have lost power.
func (s *Shard) recordConnectReset(j *job, a *attempt, outcome rrupstream.Outcome) bool {
	if !s.isShared() || outcome != rrupstream.OutcomeStale || !a.newConnection || j.connectResets >= maxConnectResets {
		return false
	}
	j.connectResets++
	return true
}

// answer ends a job whose attempt was answered. An older attempt that lost the
// race counts against its searcher.
func (s *Shard) replyAnswered(now rrunit.Instant, j *job, a *attempt) {
	for _, loser := range j.running {
		if loser.id < a.id {
			s.recordSlow(now, loser)
		}
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Attempt: a.id, Run: rrpeer.RunDone})
	s.removeJob(j)
}

// resumeSingle goes on with the one attempt that is left of two.
func (s *Shard) resumeRemaining(now rrunit.Instant, j *job) {
	if !j.entry.Waiting() && j.hedgeAt == 0 {
		s.scheduleHedge(now, j)
	}
	s.updateTimer(j)
}

// retry sends the job to another searcher, or gives the final reply at once if
// that cannot be.
func (s *Shard) retry(now rrunit.Instant, j *job, outcome rrupstream.Outcome, unread bool) {
	s.queue.Remove(&j.entry)
	j.hedgeAt = 0
	switch {
	case now >= j.Deadline:
		s.reply(j, rrquery.ReasonDeadline, 0)
	case !j.Idempotent && j.runState != rrpeer.RunNot:
		s.replyUnservable(now, j)
	case j.isExhausted():
		s.replyUnservable(now, j)
	case !s.canServe(now, s.laneOf(j)) && !s.startRound(now, j):
		s.replyUnservable(now, j)
	case !unread && !s.chargeRetry(j, outcome):
		s.replyUnservable(now, j)
	default:
		s.setQueueDeadline(now, j)
		s.enqueue(j, true)
	}
}

// afford takes the retry from the budget. An attempt that did not run cost its
// searcher no work, and its retry is free. Lost work is sent again beyond the
// budget within bounds, as the searcher that died with it spares the work.
func (s *Shard) chargeRetry(j *job, outcome rrupstream.Outcome) bool {
	switch {
	case outcome == rrupstream.OutcomeUnsent || outcome.NotRun() && !s.cfg.CountRefused:
		return true
	case s.isShared():
		return s.sharedBudget.Spend(s.now, 0)
	}
	switch outcome {
	case rrupstream.OutcomeLost, rrupstream.OutcomeStale, rrupstream.OutcomeSilent, rrupstream.OutcomeSnapshot:
		return s.budget.Owe(0)
	case rrupstream.OutcomeCancelled:
		// The job goes on, so its searcher was given up as unreachable.
		return s.budget.Owe(0)
	default:
		return s.budget.Spend(s.budgetReserve(j.Rank))
	}
}

// nextRound lets a job ask all searchers once more that turned it away as busy.
func (s *Shard) startRound(now rrunit.Instant, j *job) bool {
	if j.lastOutcome != rrupstream.OutcomeShed || j.runState != rrpeer.RunNot || j.round+1 >= maxRounds {
		return false
	}
	j.round++
	j.tried = 0
	return s.canServe(now, s.laneOf(j))
}

// reply gives the job's final result. The run state is true: attempts under way
// are given up, and may have run.
func (s *Shard) reply(j *job, reason rrquery.Reason, retry time.Duration) {
	run := j.runState
	if len(j.running) > 0 {
		run = rrpeer.RunMaybe
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Run: run, Reason: reason, Retry: rrunit.Duration(retry)})
	s.removeJob(j)
}

// replyHopeless gives the final result of a job that no searcher can serve.
func (s *Shard) replyUnservable(now rrunit.Instant, j *job) {
	reason := s.failureReason(now, j)
	retry := minBackoff
	if reason == rrquery.ReasonOverload {
		retry = s.overloadRetryAfter(j.Rank)
	}
	s.reply(j, reason, retry)
}

// hopeless returns why no searcher can serve the job.
func (s *Shard) failureReason(now rrunit.Instant, j *job) rrquery.Reason {
	if j.runState == rrpeer.RunMaybe && j.lastOutcome != rrupstream.OutcomeSnapshot {
		return rrquery.ReasonLost
	}
	if j.lastOutcome == rrupstream.OutcomeShed {
		return rrquery.ReasonOverload
	}
	open := false
	for _, w := range s.searchers {
		if w.isClosed() {
			continue
		}
		if w.isUnreachable(now) || w.mayServe(j.Version, now) {
			// It serves the version, but could not be reached.
			return rrquery.ReasonNoSearcher
		}
		open = true
	}
	if open {
		return rrquery.ReasonSnapshot
	}
	return rrquery.ReasonNoSearcher
}

// giveUpHopeless replies to all waiting jobs that no searcher can serve any
// more.
func (s *Shard) replyAllUnservable(now rrunit.Instant) {
	gone := func(key laneKey) bool { return !s.canServe(now, key) }
	s.queue.Drain(gone, func(e *rrqueue.Entry[laneKey, *job]) {
		j := e.Value
		if len(j.running) == 0 {
			s.replyUnservable(now, j)
		}
	})
}

// refusal returns why a new job cannot be taken, and when to come back.
func (s *Shard) refusalReason(now rrunit.Instant, j *job) (rrquery.Reason, time.Duration) {
	if now >= j.Deadline {
		return rrquery.ReasonDeadline, 0
	}
	key := s.laneOf(j)
	if until, ok := s.suspects.Quarantined(now, j.Fingerprint); ok {
		return rrquery.ReasonQuarantine, until.Sub(now)
	}
	if !s.canServe(now, key) {
		return s.failureReason(now, j), minBackoff
	}
	if at := s.earliestRetry(now, key); at >= j.Deadline {
		return rrquery.ReasonNoSearcher, at.Sub(now)
	}
	if s.isShared() {
		// What waits longest says little where the lot decides.
		return rrquery.ReasonNone, 0
	}
	since, ok := s.queue.OldestOf(s.queueRank(j), key, j.Caller)
	if ok && now.Add(now.Sub(since)) >= s.latestStart(now, j) {
		return rrquery.ReasonOverload, s.overloadRetryAfter(j.Rank)
	}
	return rrquery.ReasonNone, 0
}

// earliest returns when the first searcher that can serve the lane is asked
// again, for searchers that were down or paused.
func (s *Shard) earliestRetry(now rrunit.Instant, key laneKey) rrunit.Instant {
	first := rrunit.Instant(-1)
	for _, w := range s.searchers {
		if key.tried&w.bit != 0 || !w.mayServe(key.version, now) {
			continue
		}
		if first < 0 || w.retryAt < first {
			first = w.retryAt
		}
	}
	return max(first, now)
}

// overloadRetry returns when a job of the rank that is refused now has a chance
// again: after the wait of those before it.
func (s *Shard) overloadRetryAfter(rank int) time.Duration {
	wait := time.Duration(0)
	if since, ok := s.queue.Oldest(rank); ok {
		wait = s.now.Sub(since)
	}
	return max(minBackoff, wait+s.expectedSlotTime())
}

// setLeave sets when the job gives up waiting: when it would most likely be
// answered too late. Jobs that are served just before that are answered in
// time, so that a queue in overload does not spend its slots on late answers.
func (s *Shard) setQueueDeadline(now rrunit.Instant, j *job) { j.queueDeadline = s.latestStart(now, j) }

// latestStart returns when the job is to be sent at the latest. At least half
// of the time left may be spent waiting.
func (s *Shard) latestStart(now rrunit.Instant, j *job) rrunit.Instant {
	needed := min(s.ranks[j.Rank].expectedLatency(), j.Deadline.Sub(now)/2)
	return j.Deadline.Add(-needed)
}

// expire does what is due for the job.
func (s *Shard) handleTimer(now rrunit.Instant, j *job) {
	switch {
	case now >= j.Deadline:
		for _, a := range j.running {
			s.recordSlow(now, a)
		}
		s.reply(j, rrquery.ReasonDeadline, 0)
	case len(j.running) == 0 && now >= j.queueDeadline:
		s.replyQueueTimeout(j)
	case j.demoteAt != 0 && now >= j.demoteAt:
		s.demote(j)
	default:
		s.enqueueHedge(now, j)
		s.updateTimer(j)
	}
}

// leave gives up a job that has waited too long.
func (s *Shard) replyQueueTimeout(j *job) {
	if j.runState != rrpeer.RunNot {
		s.reply(j, rrquery.ReasonDeadline, 0)
		return
	}
	s.reply(j, rrquery.ReasonOverload, s.overloadRetryAfter(j.Rank))
}

// release gives the attempt's slot back.
func (s *Shard) releaseSlot(a *attempt) {
	delete(s.attempts, a.id)
	w := a.searcher
	i := slices.Index(w.running, a)
	w.running = slices.Delete(w.running, i, i+1)
	if a.suspect {
		w.runsSuspect = false
	}
	s.ranks[s.clampRank(a.rank)].running--
	if len(w.running) == 0 {
		s.removed = slices.DeleteFunc(s.removed, func(g *searcher) bool { return g == w })
	}
}
