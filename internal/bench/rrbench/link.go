package rrbench

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
)

// link is an entry's stream to an owner, modelled on the daemon's adapter.
type link struct {
	entry   *entry
	owner   *daemon
	monitor rrliveness.Monitor
	tasks   map[rrpeer.TaskID]*task
	// nextCheck is the instant of the next scheduled liveness check; zero means none.
	nextCheck rrunit.Instant
	// activeTasks counts the tasks that the owner is working on for this entry.
	activeTasks int
}

// task is the work of one query on the shards of one owner.
type task struct {
	id           rrpeer.TaskID
	fanout       *fanout
	shardIndexes []int
	// pending holds the indexes of the shards without a result.
	pending map[int]bool
	// started and cancels belong to the owner's side.
	started bool
	cancels []func()
}

func (e *entry) link(owner *daemon) *link {
	l := e.links[owner]
	if l == nil {
		l = &link{entry: e, owner: owner, tasks: make(map[rrpeer.TaskID]*task)}
		e.links[owner] = l
		e.sim.links = append(e.sim.links, l)
	}
	return l
}

// sendToOwner runs f at the owner, without delay within one daemon.
func (l *link) sendToOwner(f func()) {
	if l.owner == l.entry.daemon {
		f()
		return
	}
	l.entry.sim.net.send(l.entry.daemon.location, l.owner.location, func() { l.owner.deliver(f) })
}

// sendToEntry runs f at the entry, which records the message as activity of the owner.
func (l *link) sendToEntry(f func()) {
	deliver := func() {
		l.monitor.Received(l.entry.sim.loop.Now())
		l.scheduleCheck()
		f()
	}
	if l.owner == l.entry.daemon {
		deliver()
		return
	}
	l.entry.sim.net.send(l.owner.location, l.entry.daemon.location, func() { l.entry.daemon.deliver(deliver) })
}

// submit sends a task to the owner and returns a function that cancels it. Nothing
// is sent to a silent owner.
func (l *link) submit(t *task) func() {
	if l.monitor.Silent() {
		l.entry.sim.loop.After(0, func() { t.fail(rrpeer.RunNever) })
		return func() {}
	}
	now := l.entry.sim.loop.Now()
	l.monitor.WorkStarted(now)
	l.tasks[t.id] = t
	l.scheduleCheck()
	due := now.Add(l.entry.sim.net.oneWay(l.entry.daemon.location, l.owner.location))
	l.sendToOwner(func() { l.startTask(t, due) })
	return func() { l.cancel(t) }
}

func (l *link) cancel(t *task) {
	if l.tasks[t.id] == nil {
		return
	}
	delete(l.tasks, t.id)
	l.monitor.WorkEnded()
	l.cancelAtOwner(t)
}

// cancelAtOwner cancels what the owner still does for the task.
func (l *link) cancelAtOwner(t *task) {
	l.sendToOwner(func() {
		for _, cancel := range t.cancels {
			cancel()
		}
		l.endTask(t)
	})
}

func (l *link) endTask(t *task) {
	if t.started {
		t.started = false
		l.activeTasks--
	}
}

// startTask starts a task at the owner, at which it was due at the instant. As the
// daemon does, it subtracts the message's delay from the time left.
func (l *link) startTask(t *task, due rrunit.Instant) {
	t.started = true
	l.activeTasks++
	left := t.fanout.deadline.Sub(due)
	late := l.owner.sim.loop.Now().Sub(due)
	unfinished := len(t.shardIndexes)
	for _, index := range t.shardIndexes {
		sh := t.fanout.shards[index]
		t.cancels = append(t.cancels, l.owner.offer(l.entry, sh, t.fanout.job(), left-late, func(r rrpeer.Result) {
			r.ID = t.id
			unfinished--
			if unfinished == 0 {
				l.endTask(t)
			}
			report := l.owner.dispatcher(sh).reportFor(l.entry)
			l.sendToEntry(func() {
				l.entry.receiveReport(report)
				l.receiveResult(t, index, &r)
			})
		}))
	}
}

func (l *link) receiveResult(t *task, index int, r *rrpeer.Result) {
	if l.tasks[t.id] == nil || !t.pending[index] {
		return
	}
	delete(t.pending, index)
	if len(t.pending) == 0 {
		delete(l.tasks, t.id)
		l.monitor.WorkEnded()
		l.scheduleCheck()
	}
	t.fanout.addResult(index, r)
}

// fail ends the task with a failure of all pending shards, without a result of the
// owner.
func (t *task) fail(run rrpeer.RunState) {
	for _, index := range t.shardIndexes {
		if t.pending[index] {
			name := t.fanout.shards[index].key.Shard
			t.fanout.addResult(index, &rrpeer.Result{ID: t.id, Shard: name, Run: run, Reason: rrquery.ReasonPeer})
		}
	}
	clear(t.pending)
}

func (l *link) scheduleCheck() {
	next, ok := l.monitor.NextCheck()
	now := l.entry.sim.loop.Now()
	if !ok || (l.nextCheck > now && l.nextCheck <= next) {
		return
	}
	next = max(next, now+1)
	l.nextCheck = next
	l.entry.sim.loop.At(next, func() {
		if l.nextCheck == next {
			l.nextCheck = 0
			l.entry.daemon.deliver(l.check)
		}
	})
}

func (l *link) check() {
	switch l.monitor.Check(l.entry.sim.loop.Now()) {
	case rrliveness.ActionPing:
		l.sendToOwner(func() { l.sendToEntry(func() {}) })
	case rrliveness.ActionReassign:
		l.failAll()
	}
	l.scheduleCheck()
}

// failAll cancels and fails all tasks of an owner that has become silent.
func (l *link) failAll() {
	ids := make([]rrpeer.TaskID, 0, len(l.tasks))
	for id := range l.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	tasks := l.tasks
	l.tasks = make(map[rrpeer.TaskID]*task)
	for _, id := range ids {
		l.cancelAtOwner(tasks[id])
		tasks[id].fail(rrpeer.RunMaybe)
	}
}

// sendKeepalives has owners with active tasks send a message to the entries.
func (s *sim) sendKeepalives() {
	for _, l := range s.links {
		if l.activeTasks > 0 && s.loop.Now() >= l.owner.frozenUntil {
			l.sendToEntry(func() {})
		}
	}
}
