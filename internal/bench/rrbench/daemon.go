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
	location
	id          rrunit.InstanceID
	sim         *sim
	entry       *entry
	dispatchers map[int]*dispatcher
	// frozenUntil is until when the process is suspended; messages wait until then.
	frozenUntil rrunit.Instant
}

// deliver runs f in the daemon, once it is not suspended.
func (d *daemon) deliver(f func()) {
	if d.sim.loop.Now() < d.frozenUntil {
		d.sim.loop.At(d.frozenUntil, f)
		return
	}
	f()
}

// action is an action that a core decides on.
type action = rrdispatch.Action

// core is the decision core of a dispatcher of one shard.
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

// dispatcher runs the core of one shard, as the owner's adapter does in the daemon.
type dispatcher struct {
	daemon   *daemon
	shard    *shard
	core     core
	lastJob  rrdispatch.JobID
	jobs     map[rrdispatch.JobID]*subquery
	attempts map[rrdispatch.AttemptID]*attempt
	// nextTick is the instant of the next scheduled tick; zero means none.
	nextTick   rrunit.Instant
	lastReport map[*entry]rrunit.Instant
}

// subquery is one query's job on one shard at one dispatcher.
type subquery struct {
	entry     *entry
	deadline  rrunit.Instant
	attempted bool
	result    func(rrpeer.Result)
}

// reportInterval is the minimum time between two reports on a shard to the same
// entry, as in the daemon.
const reportInterval = 20 * time.Millisecond

// dispatcher returns the dispatcher of the shard, starting it if necessary.
func (d *daemon) dispatcher(sh *shard) *dispatcher {
	h := d.dispatchers[sh.index]
	if h != nil {
		return h
	}
	h = &dispatcher{
		daemon:     d,
		shard:      sh,
		core:       d.sim.newCore(d, sh),
		jobs:       make(map[rrdispatch.JobID]*subquery),
		attempts:   make(map[rrdispatch.AttemptID]*attempt),
		lastReport: make(map[*entry]rrunit.Instant),
	}
	d.dispatchers[sh.index] = h
	d.sim.dispatchers = append(d.sim.dispatchers, h)
	h.poll()
	return h
}

func (h *dispatcher) step(call func(rrunit.Instant) []rrdispatch.Action) {
	var replies []func()
	actions := call(h.daemon.sim.loop.Now())
	for i := range actions {
		if reply := h.perform(&actions[i]); reply != nil {
			replies = append(replies, reply)
		}
	}
	h.schedule()
	// Replies can lead to further steps, so they run last.
	for _, reply := range replies {
		reply()
	}
}

func (h *dispatcher) schedule() {
	next, ok := h.core.Next()
	now := h.daemon.sim.loop.Now()
	if !ok || (h.nextTick > now && h.nextTick <= next) {
		return
	}
	next = max(next, now+1)
	h.nextTick = next
	h.daemon.sim.loop.At(next, func() {
		if h.nextTick != next {
			return
		}
		h.nextTick = 0
		h.daemon.deliver(func() { h.step(h.core.Tick) })
	})
}

// perform carries out an action; a reply is returned as a function.
func (h *dispatcher) perform(a *rrdispatch.Action) func() {
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

// offer starts a subquery and returns a function that cancels it.
func (h *dispatcher) offer(q *subquery, job rrdispatch.Job) func() {
	h.lastJob++
	id := h.lastJob
	job.ID = id
	job.Deadline = q.deadline
	h.jobs[id] = q
	h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Offer(now, job) })
	return func() {
		delete(h.jobs, id)
		h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Cancel(now, id) })
	}
}

func (h *dispatcher) send(a *rrdispatch.Action) {
	s := h.daemon.sim
	to := s.searchers[a.Searcher]
	q := h.jobs[a.Job]
	id := a.Attempt
	w := &attempt{from: h.daemon, to: to, deadline: q.deadline}
	s.stats.countAttempt(q.attempted)
	q.attempted = true
	w.finish = func(o rrupstream.Outcome) { h.finish(id, w, o) }
	h.attempts[id] = w
	s.loop.After(to.connectDelay(h.daemon), func() {
		if !s.net.reaches(h.daemon.location, to.location()) {
			w.expire()
			return
		}
		s.net.send(h.daemon.location, to.location(), func() { to.arrive(w) })
	})
}

func (h *dispatcher) finish(id rrdispatch.AttemptID, w *attempt, o rrupstream.Outcome) {
	if w.ended {
		return
	}
	w.ended = true
	delete(h.attempts, id)
	h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.Finish(now, id, o) })
}

// cancelAttempt cancels an attempt: for the core at once, and for the searcher when
// the message arrives.
func (h *dispatcher) cancelAttempt(id rrdispatch.AttemptID) {
	w := h.attempts[id]
	if w == nil || w.ended {
		return
	}
	s := h.daemon.sim
	s.loop.After(0, func() { h.finish(id, w, rrupstream.OutcomeCancelled) })
	s.net.send(h.daemon.location, w.to.location(), func() { w.to.end(w, rrupstream.OutcomeCancelled) })
}

// poll records the load of the searchers that are up and reachable.
func (h *dispatcher) poll() {
	s := h.daemon.sim
	for _, def := range h.shard.searchers {
		to := s.searchers[def.ID]
		if to.failure != failureNone || !s.net.reaches(h.daemon.location, to.location()) {
			continue
		}
		l := to.loadReport()
		h.step(func(now rrunit.Instant) []rrdispatch.Action { return h.core.RecordLoadReport(now, to.ID, l) })
	}
}

// offer starts the part of a task that concerns one shard at the owner, and returns
// a function that cancels it.
func (d *daemon) offer(from *entry, sh *shard, job rrdispatch.Job, left time.Duration,
	result func(rrpeer.Result),
) func() {
	q := &subquery{entry: from, deadline: d.sim.loop.Now().Add(left), result: result}
	return d.dispatcher(sh).offer(q, job)
}

// reportFor returns the report to send with a result, or nil if one was sent to the
// entry less than reportInterval ago.
func (h *dispatcher) reportFor(e *entry) *rrpeer.ShardReport {
	now := h.daemon.sim.loop.Now()
	last, ok := h.lastReport[e]
	if ok && now.Sub(last) < reportInterval {
		return nil
	}
	h.lastReport[e] = now
	r := h.core.Report(now)
	r.Shard = h.shard.key
	return &r
}
