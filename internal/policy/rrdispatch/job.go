package rrdispatch

import (
	"container/heap"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// searcherSet is a set of searchers by their bits.
type searcherSet uint64

// laneKey identifies a lane of the queue: jobs that the same searchers can serve.
type laneKey struct {
	version rrunit.IndexVersion
	// tried are the searchers that the job is not sent to again.
	tried searcherSet
	// hedge marks a second attempt beside one in flight.
	hedge bool
	// demoted marks a job that can no longer meet its target.
	demoted bool
	// nonIdempotent marks a job that cannot be retried once it may have run. It is set
	// only where searchers are shared.
	nonIdempotent bool
	// suspect marks a job that has to run alone. Only then fingerprint is set.
	suspect     bool
	fingerprint rrunit.Fingerprint
}

// job is a job that has no final reply yet.
type job struct {
	Job
	entry rrqueue.Entry[laneKey, *job]
	// arrivedAt is when the job was offered.
	arrivedAt rrunit.Instant
	// tried has the searchers that the job was sent to in this round.
	tried searcherSet
	// round counts how often all searchers were tried.
	round int
	// attemptsSent counts the attempts.
	attemptsSent int
	// attemptsUsed counts the attempts that ran or may have run, against MaxAttempts.
	attemptsUsed int
	// connectResets counts the attempts whose new connection was reset at once.
	connectResets int
	// running has the attempts in flight that were not cancelled.
	running []*attempt
	// runState is RunNever while no attempt that ended may have run.
	runState rrpeer.RunState
	// lastOutcome is the outcome of the last attempt that ended; empty before.
	lastOutcome rrupstream.Outcome
	// queueDeadline is when a job without attempts in flight is removed from the queue.
	queueDeadline rrunit.Instant
	// demoteAt is when a waiting job can no longer meet its target; zero is never.
	demoteAt rrunit.Instant
	// hedgeAt is when a second attempt is due; zero is never.
	hedgeAt rrunit.Instant
	// hedgePostponed is set once the second attempt was postponed because the searcher
	// was answering other requests.
	hedgePostponed bool
	// demoted is set if the job is queued after those that can meet their target.
	demoted bool
	// lateHedge is set once a further attempt was scheduled for half of the time left,
	// as when the budget refused an earlier one.
	lateHedge bool
	// timerAt is when the job needs a Tick, and heapIndex its index in the timers; -1 is
	// none.
	timerAt   rrunit.Instant
	heapIndex int
}

// attempt is one run of a job at a searcher.
type attempt struct {
	id       AttemptID
	searcher *searcher
	// job is nil once the attempt was cancelled.
	job         *job
	rank        int
	version     rrunit.IndexVersion
	fingerprint rrunit.Fingerprint
	startedAt   rrunit.Instant
	// newConnection is set if a connection was opened for it, and connectTime is how much
	// longer it takes for that; zero on a reused one.
	newConnection bool
	connectTime   rrunit.Duration
	// suspect is set if the job was suspect when it was sent, and alone if nothing else
	// ran at the searcher and the searcher was up.
	suspect bool
	alone   bool
	// overtaken is set once another attempt of the job was answered.
	overtaken bool
}

// nextTimer returns when the job needs a Tick.
func (j *job) nextTimer() rrunit.Instant {
	due := j.Deadline
	if len(j.running) == 0 {
		due = min(due, j.queueDeadline)
	}
	if j.demoteAt != 0 {
		due = min(due, j.demoteAt)
	}
	if j.hedgeAt != 0 {
		due = min(due, j.hedgeAt)
	}
	return due
}

// isExhausted reports whether the job has used up its attempts.
func (j *job) isExhausted() bool { return j.MaxAttempts > 0 && j.attemptsUsed >= j.MaxAttempts }

func (j *job) removeAttempt(a *attempt) {
	i := slices.Index(j.running, a)
	j.running = slices.Delete(j.running, i, i+1)
}

// timers is a heap of jobs by timerAt. It implements heap.Interface.
type timers []*job

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, k int) bool {
	if t[i].timerAt != t[k].timerAt {
		return t[i].timerAt < t[k].timerAt
	}
	return t[i].ID < t[k].ID
}

func (t timers) Swap(i, k int) {
	t[i], t[k] = t[k], t[i]
	t[i].heapIndex, t[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (t *timers) Push(v any) {
	j, ok := v.(*job)
	if !ok {
		return
	}
	j.heapIndex = len(*t)
	*t = append(*t, j)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	j := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	j.heapIndex = -1
	return j
}

// updateTimer sets the job's timer after a change.
func (s *Shard) updateTimer(j *job) {
	due := j.nextTimer()
	if j.heapIndex < 0 {
		j.timerAt = due
		heap.Push(&s.timers, j)
		return
	}
	if due != j.timerAt {
		j.timerAt = due
		heap.Fix(&s.timers, j.heapIndex)
	}
}

func (s *Shard) newJob(now rrunit.Instant, in Job) *job {
	var j *job
	if n := len(s.freeJobs); n > 0 {
		j = s.freeJobs[n-1]
		s.freeJobs = s.freeJobs[:n-1]
	} else {
		j = &job{}
		j.entry.Value = j
	}
	j.Job = in
	j.arrivedAt = now
	j.tried, j.round, j.attemptsSent, j.attemptsUsed, j.connectResets = 0, 0, 0, 0, 0
	j.runState, j.lastOutcome = rrpeer.RunNever, ""
	j.queueDeadline, j.hedgeAt, j.demoteAt = in.Deadline, 0, 0
	j.lateHedge, j.demoted, j.hedgePostponed = false, false, false
	j.heapIndex = -1
	s.jobs[in.ID] = j
	return j
}

// removeJob removes the job and cancels its attempts in flight.
func (s *Shard) removeJob(j *job) {
	s.queue.Remove(&j.entry)
	if j.heapIndex >= 0 {
		heap.Remove(&s.timers, j.heapIndex)
	}
	for _, a := range j.running {
		a.job = nil
		s.emit(Action{
			Kind:        ActionCancel,
			Job:         j.ID,
			Attempt:     a.id,
			Searcher:    a.searcher.ID,
			DelayCancel: s.isShared() && !a.searcher.estimator.AnsweredSince(a.startedAt),
		})
	}
	clear(j.running)
	j.running = j.running[:0]
	delete(s.jobs, j.ID)
	s.freeJobs = append(s.freeJobs, j)
}

func (s *Shard) newAttempt() *attempt {
	if n := len(s.freeAttempts); n > 0 {
		a := s.freeAttempts[n-1]
		s.freeAttempts = s.freeAttempts[:n-1]
		return a
	}
	return &attempt{}
}
