package rrbench

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
)

// link is an entry's stream to an owner, as the daemon's adapter keeps it.
type link struct {
	entry *entry
	owner *daemon
	judge rrliveness.Monitor
	tasks map[rrpeer.TaskID]*task
	// due is the instant of the next check that was scheduled.
	due rrunit.Instant
	// working counts the tasks that the owner has from this entry.
	working int
}

// task is the work of one query on the shards of one owner.
type task struct {
	id     rrpeer.TaskID
	fanout *fanout
	places []int
	// open has the places without result.
	open map[int]bool
	// started and the cancels belong to the owner's side.
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

// send brings a message to the owner, at once within one daemon.
func (l *link) send(f func()) {
	if l.owner == l.entry.daemon {
		f()
		return
	}
	l.entry.sim.net.send(l.entry.daemon.place, l.owner.place, func() { l.owner.deliver(f) })
}

// back brings a message to the entry, which hears the owner by it.
func (l *link) back(f func()) {
	deliver := func() {
		l.judge.Received(l.entry.sim.loop.Now())
		l.schedule()
		f()
	}
	if l.owner == l.entry.daemon {
		deliver()
		return
	}
	l.entry.sim.net.send(l.owner.place, l.entry.daemon.place, func() { l.entry.daemon.deliver(deliver) })
}

// work sends a task and returns how to give it up. A silent owner is sent
// nothing.
func (l *link) work(t *task) func() {
	if l.judge.Silent() {
		l.entry.sim.loop.After(0, func() { t.fail(rrpeer.RunNever) })
		return func() {}
	}
	now := l.entry.sim.loop.Now()
	l.judge.WorkStarted(now)
	l.tasks[t.id] = t
	l.schedule()
	due := now.Add(l.entry.sim.net.oneWay(l.entry.daemon.place, l.owner.place))
	l.send(func() { l.start(t, due) })
	return func() { l.cancel(t) }
}

func (l *link) cancel(t *task) {
	if l.tasks[t.id] == nil {
		return
	}
	delete(l.tasks, t.id)
	l.judge.WorkEnded()
	l.giveUp(t)
}

// giveUp lets the owner drop what it still does for the task.
func (l *link) giveUp(t *task) {
	l.send(func() {
		for _, cancel := range t.cancels {
			cancel()
		}
		l.endWork(t)
	})
}

func (l *link) endWork(t *task) {
	if t.started {
		t.started = false
		l.working--
	}
}

// start is the owner's side of a task that was due at the instant. The daemon
// tells by its clock how late a message comes, and takes that off the time left.
func (l *link) start(t *task, due rrunit.Instant) {
	t.started = true
	l.working++
	left := t.fanout.deadline.Sub(due)
	late := l.owner.sim.loop.Now().Sub(due)
	open := len(t.places)
	for _, place := range t.places {
		sh := t.fanout.shards[place]
		t.cancels = append(t.cancels, l.owner.work(l.entry, sh, t.fanout.job(), left-late, func(r rrpeer.Result) {
			r.ID = t.id
			open--
			if open == 0 {
				l.endWork(t)
			}
			report := l.owner.host(sh).reportFor(l.entry)
			l.back(func() {
				l.entry.report(report)
				l.take(t, place, &r)
			})
		}))
	}
}

func (l *link) take(t *task, place int, r *rrpeer.Result) {
	if l.tasks[t.id] == nil || !t.open[place] {
		return
	}
	delete(t.open, place)
	if len(t.open) == 0 {
		delete(l.tasks, t.id)
		l.judge.WorkEnded()
		l.schedule()
	}
	t.fanout.take(place, r)
}

// fail ends the task without the owner's word.
func (t *task) fail(run rrpeer.RunState) {
	for _, place := range t.places {
		if t.open[place] {
			name := t.fanout.shards[place].key.Shard
			t.fanout.take(place, &rrpeer.Result{ID: t.id, Shard: name, Run: run, Reason: rrquery.ReasonPeer})
		}
	}
	clear(t.open)
}

func (l *link) schedule() {
	next, ok := l.judge.NextCheck()
	now := l.entry.sim.loop.Now()
	if !ok || (l.due > now && l.due <= next) {
		return
	}
	next = max(next, now+1)
	l.due = next
	l.entry.sim.loop.At(next, func() {
		if l.due == next {
			l.due = 0
			l.entry.daemon.deliver(l.check)
		}
	})
}

func (l *link) check() {
	switch l.judge.Check(l.entry.sim.loop.Now()) {
	case rrliveness.ActionPing:
		l.send(func() { l.back(func() {}) })
	case rrliveness.ActionReassign:
		l.failAll()
	}
	l.schedule()
}

// failAll gives up all tasks of an owner that has gone silent.
func (l *link) failAll() {
	ids := make([]rrpeer.TaskID, 0, len(l.tasks))
	for id := range l.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	tasks := l.tasks
	l.tasks = make(map[rrpeer.TaskID]*task)
	for _, id := range ids {
		l.giveUp(tasks[id])
		tasks[id].fail(rrpeer.RunMaybe)
	}
}

// sayAlive lets owners that have work say so.
func (s *sim) sayAlive() {
	for _, l := range s.links {
		if l.working > 0 && s.loop.Now() >= l.owner.frozen {
			l.back(func() {})
		}
	}
}
