package rrbench

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// daemon is one instance of the system, with an entry and the dispatchers of
// the shards that it was sent work for.
type daemon struct {
	place
	id    rrunit.InstanceID
	sim   *sim
	entry *entry
	hosts map[int]*host
	// frozen is until when the process does not run; what arrives waits.
	frozen rrunit.Instant
}

// deliver runs f in the daemon, once it is not frozen.
func (d *daemon) deliver(f func()) {
	if d.sim.loop.Now() < d.frozen {
		d.sim.loop.At(d.frozen, f)
		return
	}
	f()
}

// core is what a dispatcher of one shard decides by.
// action shortens the name of what cores decide.
type action = rrdispatch.Action

type core interface {
	Offer(rrunit.Instant, rrdispatch.Job) []rrdispatch.Action
	Cancel(rrunit.Instant, rrdispatch.JobID) []rrdispatch.Action
	Finish(rrunit.Instant, rrdispatch.AttemptID, rrupstream.Outcome) []rrdispatch.Action
	RecordLoadReport(rrunit.Instant, rrunit.SearcherID, rrupstream.Load) []rrdispatch.Action
	SetLeaving(rrunit.Instant, func(rrunit.SearcherID) bool) []rrdispatch.Action
	Tick(rrunit.Instant) []rrdispatch.Action
	Next() (rrunit.Instant, bool)
	Report(rrunit.Instant) rrpeer.ShardReport
}

// host runs the core of one shard, as the owner's adapter does in the daemon.
type host struct {
	daemon   *daemon
	shard    *shard
	core     core
	next     rrdispatch.JobID
	jobs     map[rrdispatch.JobID]*subquery
	attempts map[rrdispatch.AttemptID]*work
	// due is the instant of the next tick that was scheduled.
	due      rrunit.Instant
	reported map[*entry]rrunit.Instant
}

// subquery is one query's work on one shard at one host.
type subquery struct {
	entry    *entry
	deadline rrunit.Instant
	sent     bool
	result   func(rrpeer.Result)
}

// reportInterval is the shortest time between two reports on one shard to one
// entry, as in the daemon.
const reportInterval = 20 * time.Millisecond

// host returns the dispatcher of the shard, starting it if need be.
func (d *daemon) host(sh *shard) *host {
	h := d.hosts[sh.index]
	if h != nil {
		return h
	}
	h = &host{
		daemon:   d,
		shard:    sh,
		core:     d.sim.newCore(d, sh),
		jobs:     make(map[rrdispatch.JobID]*subquery),
		attempts: make(map[rrdispatch.AttemptID]*work),
		reported: make(map[*entry]rrunit.Instant),
	}
	d.hosts[sh.index] = h
	d.sim.hosts = append(d.sim.hosts, h)
	h.poll()
	return h
}

func (h *host) step(call func(rrunit.Instant) []rrdispatch.Action) {
	var replies []func()
	actions := call(h.daemon.sim.loop.Now())
	for i := range actions {
		if reply := h.perform(&actions[i]); reply != nil {
			replies = append(replies, reply)
		}
	}
	h.schedule()
	// Replies can lead to more steps, so they are given last.
	for _, reply := range replies {
		reply()
	}
}

func (h *host) schedule() {
	next, ok := h.core.Next()
	now := h.daemon.sim.loop.Now()
	if !ok || (h.due > now && h.due <= next) {
		return
	}
	next = max(next, now+1)
	h.due = next
	h.daemon.sim.loop.At(next, func() {
		if h.due != next {
			return
		}
		h.due = 0
		h.daemon.deliver(func() { h.step(h.core.Tick) })
	})
}

// perform carries out an action, or returns the reply that it gives.
func (h *host) perform(a *rrdispatch.Action) func() {
	switch a.Kind {
	case rrdispatch.ActionSend:
		h.send(a)
	case rrdispatch.ActionCancel:
		h.cancelAttempt(a.Attempt)
	case rrdispatch.ActionReply:
		q := h.jobs[a.Job]
		if q == nil {
			return nil
		}
		delete(h.jobs, a.Job)
		r := rrpeer.Result{Shard: h.shard.key.Shard, Run: a.Run, Reason: a.Reason, RetryAfter: a.RetryAfter}
		r.Snapshot = rrunit.Snapshot{Version: indexVersion, Layout: h.shard.key.Layout}
		return func() { q.result(r) }
	}
	return nil
}

// offer starts a subquery and returns how to give it up.
func (h *host) offer(q *subquery, job rrdispatch.Job) func() {
	h.next++
	id := h.next
	job.ID = id
	job.Deadline = q.deadline
	h.jobs[id] = q
	h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Offer(now, job) })
	return func() {
		delete(h.jobs, id)
		h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Cancel(now, id) })
	}
}

func (h *host) send(a *rrdispatch.Action) {
	s := h.daemon.sim
	to := s.searchers[a.Searcher]
	q := h.jobs[a.Job]
	id := a.Attempt
	w := &work{from: h.daemon, to: to, deadline: q.deadline}
	s.stats.attempt(q.sent)
	q.sent = true
	w.finish = func(o rrupstream.Outcome) { h.finish(id, w, o) }
	h.attempts[id] = w
	s.loop.After(to.connect(h.daemon), func() {
		if !s.net.reaches(h.daemon.place, to.place()) {
			w.lose()
			return
		}
		s.net.send(h.daemon.place, to.place(), func() { to.arrive(w) })
	})
}

func (h *host) finish(id rrdispatch.AttemptID, w *work, o rrupstream.Outcome) {
	if w.ended {
		return
	}
	w.ended = true
	delete(h.attempts, id)
	h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Finish(now, id, o) })
}

// cancelAttempt gives up an attempt. The core hears of its end at once, and
// the searcher when the word reaches it.
func (h *host) cancelAttempt(id rrdispatch.AttemptID) {
	w := h.attempts[id]
	if w == nil || w.ended {
		return
	}
	s := h.daemon.sim
	s.loop.After(0, func() { h.finish(id, w, rrupstream.OutcomeCancelled) })
	s.net.send(h.daemon.place, w.to.place(), func() { w.to.end(w, rrupstream.OutcomeCancelled) })
}

// poll asks the searchers for their load.
func (h *host) poll() {
	s := h.daemon.sim
	for _, def := range h.shard.searchers {
		to := s.searchers[def.ID]
		if to.down != downNot || !s.net.reaches(h.daemon.place, to.place()) {
			continue
		}
		l := to.load()
		h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.RecordLoadReport(now, to.ID, l) })
	}
}

// work is the owner's side of one shard of a task.
func (d *daemon) work(from *entry, sh *shard, job rrdispatch.Job, left time.Duration,
	result func(rrpeer.Result),
) func() {
	q := &subquery{entry: from, deadline: d.sim.loop.Now().Add(left), result: result}
	return d.host(sh).offer(q, job)
}

// reportFor returns the report that goes with a result, or nil if one was sent
// to the entry just before.
func (h *host) reportFor(e *entry) *rrpeer.ShardReport {
	now := h.daemon.sim.loop.Now()
	last, ok := h.reported[e]
	if ok && now.Sub(last) < reportInterval {
		return nil
	}
	h.reported[e] = now
	r := h.core.Report(now)
	r.Shard = h.shard.key
	return &r
}
