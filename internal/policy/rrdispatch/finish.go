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

// maxRounds is how often a job is sent to all searchers if all of them shed it.
const maxRounds = 2

// maxConnectResets is how many resets of new connections don't count against a job's
// attempts. It allows two for each of three searchers of a shard.
const maxConnectResets = 6

// finishAttempt replies to the attempt's job, retries it, or waits for its other
// attempts.
func (s *Shard) finishAttempt(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	j := a.job
	j.removeAttempt(a)
	if outcome == rrupstream.OutcomeAnswered {
		s.replyAnswered(now, j, a)
		return
	}
	charge := s.chargeFor(j, a, outcome)
	if outcome.NotRun() || charge != chargeBudget {
		j.attemptsUsed--
	}
	if !outcome.NotRun() {
		j.runState = rrpeer.RunMaybe
	}
	j.lastOutcome = outcome
	if outcome == rrupstream.OutcomeStaleConnection && !s.canServe(now, s.laneOf(j)) {
		// The searcher may still accept it on another connection.
		j.tried &^= a.searcher.bit
	}
	switch {
	case outcome == rrupstream.OutcomeRejected:
		s.reply(j, rrquery.ReasonRejected, 0)
	case len(j.running) > 0:
		s.resumeRemaining(now, j)
	default:
		s.retry(now, j, outcome, charge)
	}
}

// retryCharge is how a retry is charged to the budget.
type retryCharge string

const (
	// chargeBudget takes the retry from the budget, which must allow it.
	chargeBudget retryCharge = "budget"
	// chargeAlways counts the retry whether or not the budget allows it.
	chargeAlways retryCharge = "always"
	// chargeNothing does not count the retry.
	chargeNothing retryCharge = "nothing"
)

// chargeFor returns how a retry after the attempt is charged. A searcher that resets new
// connections in a row does so before it reads from them, which costs it no work, as at its
// connection limit, just after many daemons have lost power. One that resets a single one may
// have read the request. Neither is a reason to give the job up. The resets are counted.
func (s *Shard) chargeFor(j *job, a *attempt, outcome rrupstream.Outcome) retryCharge {
	if !s.isShared() || outcome != rrupstream.OutcomeStaleConnection || !a.newConnection || j.connectResets >= maxConnectResets {
		return chargeBudget
	}
	j.connectResets++
	if a.searcher.connectResets > 1 {
		return chargeNothing
	}
	return chargeAlways
}

// replyAnswered replies to a job whose attempt was answered. Older attempts that are
// still in flight count against their searchers.
func (s *Shard) replyAnswered(now rrunit.Instant, j *job, a *attempt) {
	for _, other := range j.running {
		other.overtaken = true
		if other.id < a.id {
			s.recordSlow(now, other)
		}
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Attempt: a.id, Run: rrpeer.RunDone})
	s.removeJob(j)
}

// resumeRemaining schedules a hedge for the attempts that are left, if none is planned.
func (s *Shard) resumeRemaining(now rrunit.Instant, j *job) {
	if !j.entry.Queued() && j.hedgeAt == 0 {
		s.scheduleHedge(now, j)
	}
	s.updateTimer(j)
}

// retry sends the job to another searcher, or replies at once if that is impossible.
func (s *Shard) retry(now rrunit.Instant, j *job, outcome rrupstream.Outcome, charge retryCharge) {
	s.queue.Remove(&j.entry)
	j.hedgeAt = 0
	switch {
	case now >= j.Deadline:
		s.reply(j, rrquery.ReasonDeadline, 0)
	case !j.Idempotent && j.runState != rrpeer.RunNever:
		s.replyUnservable(now, j)
	case j.isExhausted():
		s.replyUnservable(now, j)
	case !s.canServe(now, s.laneOf(j)) && !s.startRound(now, j):
		s.replyUnservable(now, j)
	default:
		s.resend(now, j, outcome, charge)
	}
}

// resend queues a job for another attempt, or replies at once if none can start in time or
// the budget is spent.
func (s *Shard) resend(now rrunit.Instant, j *job, outcome rrupstream.Outcome, charge retryCharge) {
	if reason, wait := s.capacityRefusal(now, j); reason != rrquery.ReasonNone {
		s.reply(j, reason, wait)
		return
	}
	switch charge {
	case chargeNothing:
	case chargeAlways:
		s.sharedBudget.Charge(s.now)
	case chargeBudget:
		if !s.chargeRetry(j, outcome) {
			s.replyUnservable(now, j)
			return
		}
	}
	s.setQueueDeadline(now, j)
	s.enqueue(j, true)
}

// capacityRefusal returns whether the pauses or the request limits of the searchers leave a
// job no attempt in time, and the time after which to try again.
func (s *Shard) capacityRefusal(now rrunit.Instant, j *job) (rrquery.Reason, time.Duration) {
	if reason, wait := s.pauseRefusal(now, j); reason != rrquery.ReasonNone {
		return reason, wait
	}
	wait, isLimited := s.limitWait(now, j.Rank, s.laneOf(j))
	if isLimited && now.Add(wait) > s.latestUsefulStart(now, j) {
		return rrquery.ReasonLimited, wait
	}
	return rrquery.ReasonNone, 0
}

// chargeRetry takes a retry from the budget and reports whether it could. An attempt that
// did not run cost its searcher no work, so its retry is free unless ChargeRefused is set.
// Retries after a loss may overdraw the budget within limits, as the searcher that was
// lost does not finish the work.
func (s *Shard) chargeRetry(j *job, outcome rrupstream.Outcome) bool {
	switch {
	case outcome == rrupstream.OutcomeUnsent || outcome.NotRun() && !s.cfg.ChargeRefused:
		return true
	case s.isShared():
		return s.sharedBudget.Spend(s.now, 0)
	}
	switch outcome {
	case rrupstream.OutcomeConnectionLost, rrupstream.OutcomeStaleConnection, rrupstream.OutcomeUnresponsive, rrupstream.OutcomeWrongSnapshot:
		return s.budget.Overdraw(0)
	case rrupstream.OutcomeCancelled:
		// The job was not cancelled, so its searcher was found unreachable.
		return s.budget.Overdraw(0)
	default:
		return s.budget.Spend(s.budgetReserve(j.Rank))
	}
}

// startRound lets a job that all searchers shed be sent to them again.
func (s *Shard) startRound(now rrunit.Instant, j *job) bool {
	if j.lastOutcome != rrupstream.OutcomeShed || j.runState != rrpeer.RunNever || j.round+1 >= maxRounds {
		return false
	}
	j.round++
	j.tried = 0
	return s.canServe(now, s.laneOf(j))
}

// reply emits the job's final result. Attempts in flight are cancelled and may have run,
// which the run state reflects.
func (s *Shard) reply(j *job, reason rrquery.Reason, retry time.Duration) {
	run := j.runState
	if len(j.running) > 0 {
		run = rrpeer.RunMaybe
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Run: run, Reason: reason, RetryAfter: rrunit.Duration(retry)})
	s.removeJob(j)
}

// replyUnservable replies to a job that no searcher can serve.
func (s *Shard) replyUnservable(now rrunit.Instant, j *job) {
	reason := s.failureReason(now, j)
	retry := minBackoff
	if reason == rrquery.ReasonOverload {
		retry = s.overloadRetryAfter(j.Rank)
	}
	s.reply(j, reason, retry)
}

// failureReason returns why no searcher can serve the job.
func (s *Shard) failureReason(now rrunit.Instant, j *job) rrquery.Reason {
	if j.runState == rrpeer.RunMaybe && j.lastOutcome != rrupstream.OutcomeWrongSnapshot {
		return rrquery.ReasonLost
	}
	if j.lastOutcome == rrupstream.OutcomeShed {
		return rrquery.ReasonOverload
	}
	anyOpen := false
	for _, w := range s.searchers {
		if w.isClosed() {
			continue
		}
		if w.isUnreachable(now) || w.mayServe(j.Version, now) {
			// It may have the version, but could not be reached.
			return rrquery.ReasonNoSearcher
		}
		anyOpen = true
	}
	if anyOpen {
		return rrquery.ReasonSnapshot
	}
	return rrquery.ReasonNoSearcher
}

// replyAllUnservable replies to all waiting jobs that no searcher can serve any more.
func (s *Shard) replyAllUnservable(now rrunit.Instant) {
	unservable := func(key laneKey) bool { return !s.canServe(now, key) }
	s.queue.Drain(unservable, func(e *rrqueue.Entry[laneKey, *job]) {
		j := e.Value
		if len(j.running) == 0 {
			s.replyUnservable(now, j)
		}
	})
}

// refusalReason returns why a new job is refused, if it is, and the time after which to
// retry.
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
	if reason, wait := s.pauseRefusal(now, j); reason != rrquery.ReasonNone {
		return reason, wait
	}
	if s.isShared() {
		// The longest wait predicts little where jobs are served by random priority.
		return s.limitRefusal(now, j.Rank, key)
	}
	since, ok := s.queue.OldestOf(s.queueRank(j), key, j.Caller)
	if ok && now.Add(now.Sub(since)) >= s.latestStart(now, j) {
		return rrquery.ReasonOverload, s.overloadRetryAfter(j.Rank)
	}
	return rrquery.ReasonNone, 0
}

// earliestRetry returns when the first searcher that can serve the lane, and was down or
// paused, is used again.
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

// overloadRetryAfter returns the time after which a refused job of the rank may be
// accepted: the current wait in the queue.
func (s *Shard) overloadRetryAfter(rank int) time.Duration {
	wait := time.Duration(0)
	if since, ok := s.queue.Oldest(rank); ok {
		wait = s.now.Sub(since)
	}
	return max(minBackoff, wait+s.expectedSlotTime())
}

// setQueueDeadline sets when the job is removed from the queue: when it would most
// likely be answered too late. Jobs that are served just before that are answered in
// time, so that an overloaded shard does not spend its slots on late answers.
func (s *Shard) setQueueDeadline(now rrunit.Instant, j *job) { j.queueDeadline = s.latestStart(now, j) }

// latestStart returns the latest time to send the job. At least half of the time left
// may be spent waiting.
func (s *Shard) latestStart(now rrunit.Instant, j *job) rrunit.Instant {
	latency := min(s.ranks[j.Rank].expectedLatency(), j.Deadline.Sub(now)/2)
	return j.Deadline.Add(-latency)
}

// handleTimer carries out what is due for the job.
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

// replyQueueTimeout replies to a job that has waited too long.
func (s *Shard) replyQueueTimeout(j *job) {
	if j.runState != rrpeer.RunNever {
		s.reply(j, rrquery.ReasonDeadline, 0)
		return
	}
	s.reply(j, rrquery.ReasonOverload, s.overloadRetryAfter(j.Rank))
}

// releaseSlot frees the attempt's slot.
func (s *Shard) releaseSlot(a *attempt) {
	delete(s.attempts, a.id)
	w := a.searcher
	i := slices.Index(w.running, a)
	w.running = slices.Delete(w.running, i, i+1)
	if a.suspect {
		w.runsSuspect = false
		s.suspects.EndTrial(a.fingerprint)
	}
	s.ranks[s.clampRank(a.rank)].running--
	if len(w.running) > 0 {
		return
	}
	if i := slices.Index(s.removed, w); i >= 0 {
		s.removed = slices.Delete(s.removed, i, i+1)
		s.rememberUnlisted(w)
	}
}
