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

// choices is the rival that knows only what its own entry does: it sends each
// subquery at once to the less busy of two searchers drawn at random, and again
// when one turns it away.
type choices struct {
	rand      *rand.Rand
	searchers []*choice
	jobs      map[rrdispatch.JobID]*resent
	attempts  map[rrdispatch.AttemptID]pick
	next      rrdispatch.AttemptID
	// waiting is ordered by at.
	waiting []resend
}

type choice struct {
	id rrunit.SearcherID
	// own counts the attempts of this entry, seen is the last load report.
	own, seen int
	leaving   bool
}

type pick struct {
	job rrdispatch.JobID
	to  *choice
}

// resent is a job and how long it waits when it is turned away next.
type resent struct {
	rrdispatch.Job
	delay time.Duration
}

// resend is a job that was turned away and is sent again a little later.
type resend struct {
	job rrdispatch.JobID
	at  rrunit.Instant
}

// A subquery that was turned away waits resendDelay, and twice as long each
// further time, at most resendMost.
const (
	resendDelay = 10 * time.Millisecond
	resendMost  = 640 * time.Millisecond
)

func newChoices(defs []rrdefinition.Searcher, r *rand.Rand) *choices {
	c := &choices{
		rand:     r,
		jobs:     make(map[rrdispatch.JobID]*resent),
		attempts: make(map[rrdispatch.AttemptID]pick),
	}
	for i := range defs {
		c.searchers = append(c.searchers, &choice{id: defs[i].ID})
	}
	return c
}

// Offer implements core.
func (c *choices) Offer(_ rrunit.Instant, j rrdispatch.Job) []rrdispatch.Action {
	c.jobs[j.ID] = &resent{Job: j, delay: resendDelay}
	return c.send(j.ID)
}

func (c *choices) send(id rrdispatch.JobID) []rrdispatch.Action {
	a, b := c.draw(), c.draw()
	if b.own+b.seen < a.own+a.seen {
		a = b
	}
	a.own++
	c.next++
	c.attempts[c.next] = pick{job: id, to: a}
	return []rrdispatch.Action{{Kind: rrdispatch.ActionSend, Job: id, Attempt: c.next, Searcher: a.id}}
}

func (c *choices) draw() *choice {
	w := c.searchers[c.rand.IntN(len(c.searchers))]
	if w.leaving {
		w = c.searchers[c.rand.IntN(len(c.searchers))]
	}
	return w
}

// Cancel implements core.
func (c *choices) Cancel(_ rrunit.Instant, id rrdispatch.JobID) []rrdispatch.Action {
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
func (c *choices) Finish(now rrunit.Instant, id rrdispatch.AttemptID, o rrupstream.Outcome) []rrdispatch.Action {
	p := c.attempts[id]
	delete(c.attempts, id)
	p.to.own--
	j, ok := c.jobs[p.job]
	if !ok {
		return nil
	}
	if o == rrupstream.OutcomeAnswered {
		delete(c.jobs, p.job)
		return []rrdispatch.Action{{Kind: rrdispatch.ActionReply, Job: p.job, Attempt: id, Run: rrpeer.RunDone}}
	}
	c.wait(resend{job: j.ID, at: now.Add(j.delay)})
	j.delay = min(2*j.delay, resendMost)
	return nil
}

func (c *choices) wait(r resend) {
	i := sort.Search(len(c.waiting), func(i int) bool { return c.waiting[i].at > r.at })
	c.waiting = slices.Insert(c.waiting, i, r)
}

// RecordLoadReport implements core.
func (c *choices) RecordLoadReport(_ rrunit.Instant, id rrunit.SearcherID, l rrupstream.Load) []rrdispatch.Action {
	for _, w := range c.searchers {
		if w.id == id {
			w.seen = l.BusySlots
		}
	}
	return nil
}

// SetLeaving implements core.
func (c *choices) SetLeaving(_ rrunit.Instant, leaving func(rrunit.SearcherID) bool) []rrdispatch.Action {
	for _, w := range c.searchers {
		w.leaving = leaving(w.id)
	}
	return nil
}

// Tick implements core.
func (c *choices) Tick(now rrunit.Instant) []rrdispatch.Action {
	var out []rrdispatch.Action
	for len(c.waiting) > 0 && c.waiting[0].at <= now {
		id := c.waiting[0].job
		c.waiting = c.waiting[1:]
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
func (c *choices) Next() (rrunit.Instant, bool) {
	if len(c.waiting) == 0 {
		return 0, false
	}
	return c.waiting[0].at, true
}

// Report implements core.
func (c *choices) Report(rrunit.Instant) rrpeer.ShardReport { return rrpeer.ShardReport{} }
