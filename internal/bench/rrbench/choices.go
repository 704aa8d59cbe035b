package rrbench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// twoChoices is the baseline that uses only an entry's own state and load reports:
// it sends each subquery without queueing to the less busy of two random searchers,
// and retries it after a failure.
type twoChoices struct {
	rand        *rand.Rand
	searchers   []*candidate
	jobs        map[rrdispatch.JobID]*pendingJob
	attempts    map[rrdispatch.AttemptID]sentAttempt
	lastAttempt rrdispatch.AttemptID
	// retries is ordered by instant.
	retries []jobRetry
}

type candidate struct {
	id rrunit.SearcherID
	// inFlight counts the attempts of this entry; reportedBusy is from the last load
	// report.
	inFlight, reportedBusy int
	leaving                bool
}

type sentAttempt struct {
	job rrdispatch.JobID
	to  *candidate
}

// pendingJob is a job with the delay before its next retry.
type pendingJob struct {
	rrdispatch.Job
	retryDelay time.Duration
}

// jobRetry is a failed job that is to be sent again.
type jobRetry struct {
	job rrdispatch.JobID
	at  rrunit.Instant
}

// The delay before a retry starts at minRetryDelay and doubles with each one, up to
// maxRetryDelay.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 640 * time.Millisecond
)

func newTwoChoices(defs []rrdefinition.Searcher, r *rand.Rand) *twoChoices {
	c := &twoChoices{
		rand:     r,
		jobs:     make(map[rrdispatch.JobID]*pendingJob),
		attempts: make(map[rrdispatch.AttemptID]sentAttempt),
	}
	for i := range defs {
		c.searchers = append(c.searchers, &candidate{id: defs[i].ID})
	}
	return c
}

// Offer implements core.
func (c *twoChoices) Offer(_ rrunit.Instant, j rrdispatch.Job) []rrdispatch.Action {
	c.jobs[j.ID] = &pendingJob{Job: j, retryDelay: minRetryDelay}
	return c.send(j.ID)
}

func (c *twoChoices) send(id rrdispatch.JobID) []rrdispatch.Action {
	a, b := c.pickSearcher(), c.pickSearcher()
	if b.inFlight+b.reportedBusy < a.inFlight+a.reportedBusy {
		a = b
	}
	a.inFlight++
	c.lastAttempt++
	c.attempts[c.lastAttempt] = sentAttempt{job: id, to: a}
	return []rrdispatch.Action{{Kind: rrdispatch.ActionSend, Job: id, Attempt: c.lastAttempt, Searcher: a.id}}
}

func (c *twoChoices) pickSearcher() *candidate {
	w := c.searchers[c.rand.IntN(len(c.searchers))]
	if w.leaving {
		w = c.searchers[c.rand.IntN(len(c.searchers))]
	}
	return w
}

// Cancel implements core.
func (c *twoChoices) Cancel(_ rrunit.Instant, id rrdispatch.JobID) []rrdispatch.Action {
	delete(c.jobs, id)
	var out []rrdispatch.Action
	for a, p := range c.attempts {
		if p.job == id {
			out = append(out, rrdispatch.Action{Kind: rrdispatch.ActionCancel, Job: id, Attempt: a, Searcher: p.to.id})
		}
	}
	slices.SortFunc(out, func(a, b rrdispatch.Action) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return out
}

// Finish implements core.
func (c *twoChoices) Finish(now rrunit.Instant, id rrdispatch.AttemptID, o rrupstream.Outcome) []rrdispatch.Action {
	p := c.attempts[id]
	delete(c.attempts, id)
	p.to.inFlight--
	j, ok := c.jobs[p.job]
	if !ok {
		return nil
	}
	if o == rrupstream.OutcomeAnswered {
		delete(c.jobs, p.job)
		return []rrdispatch.Action{{Kind: rrdispatch.ActionReply, Job: p.job, Attempt: id, Run: rrpeer.RunDone}}
	}
	c.scheduleRetry(jobRetry{job: j.ID, at: now.Add(j.retryDelay)})
	j.retryDelay = min(2*j.retryDelay, maxRetryDelay)
	return nil
}

func (c *twoChoices) scheduleRetry(r jobRetry) {
	i := sort.Search(len(c.retries), func(i int) bool { return c.retries[i].at > r.at })
	c.retries = slices.Insert(c.retries, i, r)
}

// RecordLoadReport implements core.
func (c *twoChoices) RecordLoadReport(_ rrunit.Instant, id rrunit.SearcherID, l rrupstream.Load) []rrdispatch.Action {
	for _, w := range c.searchers {
		if w.id == id {
			w.reportedBusy = l.BusySlots
		}
	}
	return nil
}

// SetLeaving implements core.
func (c *twoChoices) SetLeaving(_ rrunit.Instant, leaving func(rrunit.SearcherID) bool) []rrdispatch.Action {
	for _, w := range c.searchers {
		w.leaving = leaving(w.id)
	}
	return nil
}

// Tick implements core.
func (c *twoChoices) Tick(now rrunit.Instant) []rrdispatch.Action {
	var out []rrdispatch.Action
	for len(c.retries) > 0 && c.retries[0].at <= now {
		id := c.retries[0].job
		c.retries = c.retries[1:]
		j, ok := c.jobs[id]
		switch {
		case !ok:
		case now >= j.Deadline:
			delete(c.jobs, id)
			out = append(out, rrdispatch.Action{
				Kind: rrdispatch.ActionReply, Job: id, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonDeadline,
			})
		default:
			out = append(out, c.send(id)...)
		}
	}
	return out
}

// Next implements core.
func (c *twoChoices) Next() (rrunit.Instant, bool) {
	if len(c.retries) == 0 {
		return 0, false
	}
	return c.retries[0].at, true
}

// Report implements core.
func (c *twoChoices) Report(rrunit.Instant) rrpeer.ShardReport { return rrpeer.ShardReport{} }
