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
type mask uint64

// laneKey puts together the jobs that the same searchers can serve.
type laneKey struct {
	version rrunit.IndexVersion
	// tried are the searchers that are not asked again.
	tried mask
	// hedge marks a second attempt beside one under way.
	hedge bool
	// behind marks a job that can no longer make its target.
	behind bool
	// once marks a job that cannot be sent again once it may have run.
	once bool
	// suspect marks a job that runs alone; only then fingerprint is set.
	suspect     bool
	fingerprint rrunit.Fingerprint
}

// job is a job that has no final reply yet.
type job struct {
	Job
	entry rrqueue.Entry[laneKey, *job]
	// arrived is when the job was offered.
	arrived rrunit.Instant
	// tried has the searchers that were sent the job in this round.
	tried mask
	// round counts how often all searchers were tried.
	round int
	// sent counts the attempts.
	sent int
	// spent counts the attempts that ran or may have, for the bound of the job.
	spent int
	// unread counts the attempts whose new connection was reset at once.
	unread int
	// running has the attempts under way that were not cancelled.
	running []*attempt
	// run is RunNot while every attempt that ended says it did not run.
	run rrpeer.RunState
	// last is how the last attempt ended; empty before.
	last rrupstream.Outcome
	// leaveAt is when a job without attempts under way gives up waiting.
	leaveAt rrunit.Instant
	// demoteAt is when a job that waits can no longer make its target; zero is
	// never.
	demoteAt rrunit.Instant
	// hedgeAt is when a second attempt is due; zero is never.
	hedgeAt rrunit.Instant
	// extended says that the second attempt was put off once, as the searcher
	// was answering others.
	extended bool
	// behind says that the job waits behind those that can make their target.
	behind bool
	// late says that the budget refused a second attempt once.
	late bool
	// due is when the job needs Tick, and index its place in the timers; -1
	// is in none.
	due   rrunit.Instant
	index int
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
	started     rrunit.Instant
	// opened says that a connection was opened for it, and connect is how much longer it
	// takes for that; zero on a kept one.
	opened  bool
	connect rrunit.Duration
	// suspect says that the job was suspect at the send, and alone that
	// nothing else ran at the searcher, which was up.
	suspect bool
	alone   bool
}

// nextDue returns when the job needs a Tick.
func (j *job) nextDue() rrunit.Instant {
	due := j.Deadline
	if len(j.running) == 0 {
		due = min(due, j.leaveAt)
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
func (j *job) isSpent() bool { return j.Attempts > 0 && j.spent >= j.Attempts }

func (j *job) drop(a *attempt) {
	i := slices.Index(j.running, a)
	j.running = slices.Delete(j.running, i, i+1)
}

// timers is a heap of jobs by due. It implements heap.Interface.
type timers []*job

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, k int) bool {
	if t[i].due != t[k].due {
		return t[i].due < t[k].due
	}
	return t[i].ID < t[k].ID
}

func (t timers) Swap(i, k int) {
	t[i], t[k] = t[k], t[i]
	t[i].index, t[k].index = i, k
}

// Push implements heap.Interface.
func (t *timers) Push(v any) {
	j, ok := v.(*job)
	if !ok {
		return
	}
	j.index = len(*t)
	*t = append(*t, j)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	j := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	j.index = -1
	return j
}

// arm puts the job's timer right after a change.
func (s *Shard) arm(j *job) {
	due := j.nextDue()
	if j.index < 0 {
		j.due = due
		heap.Push(&s.timers, j)
		return
	}
	if due != j.due {
		j.due = due
		heap.Fix(&s.timers, j.index)
	}
}

func (s *Shard) newJob(now rrunit.Instant, in Job) *job {
	var j *job
	if n := len(s.spareJobs); n > 0 {
		j = s.spareJobs[n-1]
		s.spareJobs = s.spareJobs[:n-1]
	} else {
		j = &job{}
		j.entry.Value = j
	}
	j.Job = in
	j.arrived = now
	j.tried, j.round, j.sent, j.spent, j.unread = 0, 0, 0, 0, 0
	j.run, j.last = rrpeer.RunNot, ""
	j.leaveAt, j.hedgeAt, j.demoteAt = in.Deadline, 0, 0
	j.late, j.behind, j.extended = false, false, false
	j.index = -1
	s.jobs[in.ID] = j
	return j
}

// forget ends the job: its attempts under way are cancelled.
func (s *Shard) forget(j *job) {
	s.queue.Remove(&j.entry)
	if j.index >= 0 {
		heap.Remove(&s.timers, j.index)
	}
	for _, a := range j.running {
		a.job = nil
		s.emit(Action{
			Kind:     ActionCancel,
			Job:      j.ID,
			Attempt:  a.id,
			Searcher: a.searcher.ID,
			Linger:   s.isShared() && !a.searcher.pace.AnsweredSince(a.started),
		})
	}
	clear(j.running)
	j.running = j.running[:0]
	delete(s.jobs, j.ID)
	s.spareJobs = append(s.spareJobs, j)
}

func (s *Shard) newAttempt() *attempt {
	if n := len(s.spareAttempts); n > 0 {
		a := s.spareAttempts[n-1]
		s.spareAttempts = s.spareAttempts[:n-1]
		return a
	}
	return &attempt{}
}
