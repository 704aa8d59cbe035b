package rrdispatch

import (
	"container/heap"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// mask is a set of searchers by their bits.
type searcherSet uint64

// laneKey puts together the jobs that the same searchers can serve.
type laneKey struct {
	version rrunit.IndexVersion
	// tried are the searchers that are not asked again.
	tried searcherSet
	// hedge marks a second attempt beside one under way.
	hedge bool
	// behind marks a job that can no longer make its target.
	demoted bool
	// once marks a job that cannot be sent again once it may have run.
	nonIdempotent bool
	// suspect marks a job that runs alone; only then fingerprint is set.
	suspect     bool
	fingerprint rrunit.Fingerprint
}

// job is a job that has no final reply yet.
type job struct {
	Job
	entry rrqueue.Entry[laneKey, *job]
	// arrived is when the job was offered.
	arrivedAt rrunit.Instant
	// tried has the searchers that were sent the job in this round.
	tried searcherSet
	// round counts how often all searchers were tried.
	round int
	// sent counts the attempts.
	attemptsSent int
	// spent counts the attempts that ran or may have, for the bound of the job.
	attemptsUsed int
	// unread counts the attempts whose new connection was reset at once.
	connectResets int
	// running has the attempts under way that were not cancelled.
	running []*attempt
	// run is RunNot while every attempt that ended says it did not run.
	runState rrpeer.RunState
	// last is how the last attempt ended; empty before.
	lastOutcome rrupstream.Outcome
	// leaveAt is when a job without attempts under way gives up waiting.
	queueDeadline rrunit.Instant
	// demoteAt is when a job that waits can no longer make its target; zero is
	// never.
	demoteAt rrunit.Instant
	// hedgeAt is when a second attempt is due; zero is never.
	hedgeAt rrunit.Instant
	// extended says that the second attempt was put off once, as the searcher
	// was answering others.
	hedgePostponed bool
	// behind says that the job waits behind those that can make their target.
	demoted bool
	// late says that the budget refused a second attempt once.
	lateHedge bool
	// due is when the job needs Tick, and index its place in the timers; -1
	// is in none.
	timerAt   rrunit.Instant
	heapIndex int
}

// attempt is a job under way at one searcher.
type attempt struct {
	id       AttemptID
	searcher *searcher
	// job is nil once the attempt was cancelled.
	job         *job
	rank        int
	version     rrunit.IndexVersion
	fingerprint rrunit.Fingerprint
	startedAt   rrunit.Instant
	// opened says that a connection was opened for it, and connect is how much longer it
	// takes for that; zero on a kept one.
	newConnection bool
	connectTime   rrunit.Duration
	// suspect says that the job was suspect at the send, and alone that
	// nothing else ran at the searcher, which was up.
	suspect bool
	alone   bool
}

// nextDue returns when the job needs a Tick.
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

// isSpent reports whether no further searcher may run the job.
func (j *job) isExhausted() bool { return j.Attempts > 0 && j.attemptsUsed >= j.Attempts }

func (j *job) removeAttempt(a *attempt) {
	i := slices.Index(j.running, a)
	j.running = slices.Delete(j.running, i, i+1)
}

// timers is a heap of jobs by due. It implements heap.Interface.
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

// arm puts the job's timer right after a change.
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
	j.runState, j.lastOutcome = rrpeer.RunNot, ""
	j.queueDeadline, j.hedgeAt, j.demoteAt = in.Deadline, 0, 0
	j.lateHedge, j.demoted, j.hedgePostponed = false, false, false
	j.heapIndex = -1
	s.jobs[in.ID] = j
	return j
}

// forget ends the job: its attempts under way are cancelled.
func (s *Shard) removeJob(j *job) {
	s.queue.Remove(&j.entry)
	if j.heapIndex >= 0 {
		heap.Remove(&s.timers, j.heapIndex)
	}
	for _, a := range j.running {
		a.job = nil
		s.emit(Action{
			Kind:     ActionCancel,
			Job:      j.ID,
			Attempt:  a.id,
			Searcher: a.searcher.ID,
			Linger:   s.isShared() && !a.searcher.estimator.AnsweredSince(a.startedAt),
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
