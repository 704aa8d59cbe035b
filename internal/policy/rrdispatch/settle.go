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
const maxUnread = 6

// settle decides what the end of its attempt means for the job.
func (s *Shard) settle(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	j := a.job
	j.drop(a)
	if outcome == rrupstream.OutcomeAnswered {
		s.answer(now, j, a)
		return
	}
	unread := s.takeUnread(j, a, outcome)
	if outcome.NotRun() || unread {
		j.spent--
	}
	if !outcome.NotRun() {
		j.run = rrpeer.RunMaybe
	}
	j.last = outcome
	if outcome == rrupstream.OutcomeStale && !s.possible(now, s.key(j)) {
		// The searcher may well take it on another connection.
		j.tried &^= a.searcher.bit
	}
	switch {
	case outcome == rrupstream.OutcomeRejected:
		s.reply(j, rrquery.ReasonRejected, 0)
	case len(j.running) > 0:
		s.resumeSingle(now, j)
	default:
		s.retry(now, j, outcome, unread)
	}
}

// takeUnread reports whether a searcher that accepts no more connections has reset a new
// one before it can have read the request, which costs it no work. It is so just after
// many daemons have lost power.
func (s *Shard) takeUnread(j *job, a *attempt, outcome rrupstream.Outcome) bool {
	if !s.isShared() || outcome != rrupstream.OutcomeStale || !a.opened || j.unread >= maxUnread {
		return false
	}
	j.unread++
	return true
}

// answer ends a job whose attempt was answered. An older attempt that lost the
// race counts against its searcher.
func (s *Shard) answer(now rrunit.Instant, j *job, a *attempt) {
	for _, loser := range j.running {
		if loser.id < a.id {
			s.tooSlow(now, loser)
		}
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Attempt: a.id, Run: rrpeer.RunDone})
	s.forget(j)
}

// resumeSingle goes on with the one attempt that is left of two.
func (s *Shard) resumeSingle(now rrunit.Instant, j *job) {
	if !j.entry.Queued() && j.hedgeAt == 0 {
		s.planHedge(now, j)
	}
	s.arm(j)
}

// retry sends the job to another searcher, or gives the final reply at once if
// that cannot be.
func (s *Shard) retry(now rrunit.Instant, j *job, outcome rrupstream.Outcome, unread bool) {
	s.queue.Remove(&j.entry)
	j.hedgeAt = 0
	switch {
	case now >= j.Deadline:
		s.reply(j, rrquery.ReasonDeadline, 0)
	case !j.Idempotent && j.run != rrpeer.RunNot:
		s.replyHopeless(now, j)
	case j.isSpent():
		s.replyHopeless(now, j)
	case !s.possible(now, s.key(j)) && !s.nextRound(now, j):
		s.replyHopeless(now, j)
	case !unread && !s.afford(j, outcome):
		s.replyHopeless(now, j)
	default:
		s.setLeave(now, j)
		s.wait(j, true)
	}
}

// afford takes the retry from the budget. An attempt that did not run cost its
// searcher no work, and its retry is free. Lost work is sent again beyond the
// budget within bounds, as the searcher that died with it spares the work.
func (s *Shard) afford(j *job, outcome rrupstream.Outcome) bool {
	switch {
	case outcome == rrupstream.OutcomeUnsent || outcome.NotRun() && !s.cfg.CountRefused:
		return true
	case s.isShared():
		return s.window.Spend(s.now, 0)
	}
	switch outcome {
	case rrupstream.OutcomeLost, rrupstream.OutcomeStale, rrupstream.OutcomeSilent, rrupstream.OutcomeSnapshot:
		return s.budget.Overdraw(0)
	case rrupstream.OutcomeCancelled:
		// The job goes on, so its searcher was given up as unreachable.
		return s.budget.Overdraw(0)
	default:
		return s.budget.Spend(s.keep(j.Rank))
	}
}

// nextRound lets a job ask all searchers once more that turned it away as busy.
func (s *Shard) nextRound(now rrunit.Instant, j *job) bool {
	if j.last != rrupstream.OutcomeShed || j.run != rrpeer.RunNot || j.round+1 >= maxRounds {
		return false
	}
	j.round++
	j.tried = 0
	return s.possible(now, s.key(j))
}

// reply gives the job's final result. The run state is true: attempts under way
// are given up, and may have run.
func (s *Shard) reply(j *job, reason rrquery.Reason, retry time.Duration) {
	run := j.run
	if len(j.running) > 0 {
		run = rrpeer.RunMaybe
	}
	s.emit(Action{Kind: ActionReply, Job: j.ID, Run: run, Reason: reason, Retry: rrunit.Duration(retry)})
	s.forget(j)
}

// replyHopeless gives the final result of a job that no searcher can serve.
func (s *Shard) replyHopeless(now rrunit.Instant, j *job) {
	reason := s.hopeless(now, j)
	retry := backoffFirst
	if reason == rrquery.ReasonOverload {
		retry = s.overloadRetry(j.Rank)
	}
	s.reply(j, reason, retry)
}

// hopeless returns why no searcher can serve the job.
func (s *Shard) hopeless(now rrunit.Instant, j *job) rrquery.Reason {
	if j.run == rrpeer.RunMaybe && j.last != rrupstream.OutcomeSnapshot {
		return rrquery.ReasonLost
	}
	if j.last == rrupstream.OutcomeShed {
		return rrquery.ReasonOverload
	}
	open := false
	for _, w := range s.searchers {
		if w.closed() {
			continue
		}
		if w.unreachable(now) || w.serves(j.Version, now) {
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
func (s *Shard) giveUpHopeless(now rrunit.Instant) {
	gone := func(key laneKey) bool { return !s.possible(now, key) }
	s.queue.Drain(gone, func(e *rrqueue.Entry[laneKey, *job]) {
		j := e.Value
		if len(j.running) == 0 {
			s.replyHopeless(now, j)
		}
	})
}

// refusal returns why a new job cannot be taken, and when to come back.
func (s *Shard) refusal(now rrunit.Instant, j *job) (rrquery.Reason, time.Duration) {
	if now >= j.Deadline {
		return rrquery.ReasonDeadline, 0
	}
	key := s.key(j)
	if until, ok := s.suspects.Quarantined(now, j.Fingerprint); ok {
		return rrquery.ReasonQuarantine, until.Sub(now)
	}
	if !s.possible(now, key) {
		return s.hopeless(now, j), backoffFirst
	}
	if at := s.earliest(now, key); at >= j.Deadline {
		return rrquery.ReasonNoSearcher, at.Sub(now)
	}
	if s.isShared() {
		// What waits longest says little where the lot decides.
		return rrquery.ReasonNone, 0
	}
	since, ok := s.queue.OldestOf(s.queueRank(j), key, j.Caller)
	if ok && now.Add(now.Sub(since)) >= s.latestStart(now, j) {
		return rrquery.ReasonOverload, s.overloadRetry(j.Rank)
	}
	return rrquery.ReasonNone, 0
}

// earliest returns when the first searcher that can serve the lane is asked
// again, for searchers that were down or paused.
func (s *Shard) earliest(now rrunit.Instant, key laneKey) rrunit.Instant {
	first := rrunit.Instant(-1)
	for _, w := range s.searchers {
		if key.tried&w.bit != 0 || !w.serves(key.version, now) {
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
func (s *Shard) overloadRetry(rank int) time.Duration {
	wait := time.Duration(0)
	if since, ok := s.queue.Oldest(rank); ok {
		wait = s.now.Sub(since)
	}
	return max(backoffFirst, wait+s.slotTime())
}

// setLeave sets when the job gives up waiting: when it would most likely be
// answered too late. Jobs that are served just before that are answered in
// time, so that a queue in overload does not spend its slots on late answers.
func (s *Shard) setLeave(now rrunit.Instant, j *job) { j.leaveAt = s.latestStart(now, j) }

// latestStart returns when the job is to be sent at the latest. At least half
// of the time left may be spent waiting.
func (s *Shard) latestStart(now rrunit.Instant, j *job) rrunit.Instant {
	needed := min(s.ranks[j.Rank].usual(), j.Deadline.Sub(now)/2)
	return j.Deadline.Add(-needed)
}

// expire does what is due for the job.
func (s *Shard) expire(now rrunit.Instant, j *job) {
	switch {
	case now >= j.Deadline:
		for _, a := range j.running {
			s.tooSlow(now, a)
		}
		s.reply(j, rrquery.ReasonDeadline, 0)
	case len(j.running) == 0 && now >= j.leaveAt:
		s.leave(j)
	case j.demoteAt != 0 && now >= j.demoteAt:
		s.demote(j)
	default:
		s.hedge(now, j)
		s.arm(j)
	}
}

// leave gives up a job that has waited too long.
func (s *Shard) leave(j *job) {
	if j.run != rrpeer.RunNot {
		s.reply(j, rrquery.ReasonDeadline, 0)
		return
	}
	s.reply(j, rrquery.ReasonOverload, s.overloadRetry(j.Rank))
}

// release gives the attempt's slot back.
func (s *Shard) release(a *attempt) {
	delete(s.attempts, a.id)
	w := a.searcher
	i := slices.Index(w.running, a)
	w.running = slices.Delete(w.running, i, i+1)
	if a.suspect {
		w.alone = false
	}
	s.ranks[s.rankOf(a.rank)].running--
	if len(w.running) == 0 {
		s.gone = slices.DeleteFunc(s.gone, func(g *searcher) bool { return g == w })
	}
}
