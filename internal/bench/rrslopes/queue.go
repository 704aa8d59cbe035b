package rrslopes

import (
	"container/heap"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// event is a function that runs at an instant of virtual time.
type event struct {
	at  rrunit.Instant
	seq uint64
	run func()
}

// eventQueue holds events; those of the same instant run in the order of insertion.
type eventQueue struct {
	events []event
	seq    uint64
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		q.events = append(q.events, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// after runs a function after the duration.
func (f *fleet) after(d time.Duration, run func()) {
	f.queue.seq++
	heap.Push(&f.queue, event{at: f.now.Add(d), seq: f.queue.seq, run: run})
}

// runUntil runs all events up to and including the instant.
func (f *fleet) runUntil(end rrunit.Instant) {
	for f.queue.Len() > 0 && f.queue.events[0].at <= end && f.err == nil {
		e, ok := heap.Pop(&f.queue).(event)
		if !ok {
			return
		}
		f.now = e.at
		e.run()
	}
	f.now = end
}
