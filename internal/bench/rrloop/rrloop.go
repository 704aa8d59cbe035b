// Package rrloop is a discrete-event loop in virtual time, on which the benchmarks
// of the decision cores run.
package rrloop

import (
	"container/heap"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// event is a function that runs at an instant. Events of the same instant run in
// the order in which they were added.
type event struct {
	at  rrunit.Instant
	seq uint64
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Loop is a virtual clock with a queue of events. The zero Loop starts at
// instant 0.
type Loop struct {
	now    rrunit.Instant
	seq    uint64
	events eventHeap
	// free holds events that have run, for reuse.
	free []*event
}

// Now returns the current instant.
func (l *Loop) Now() rrunit.Instant { return l.now }

// At runs f at the instant, or now if that has passed.
func (l *Loop) At(t rrunit.Instant, f func()) {
	l.seq++
	e := l.newEvent()
	*e = event{at: max(t, l.now), seq: l.seq, run: f}
	heap.Push(&l.events, e)
}

func (l *Loop) newEvent() *event {
	if len(l.free) == 0 {
		return &event{}
	}
	e := l.free[len(l.free)-1]
	l.free = l.free[:len(l.free)-1]
	return e
}

// After runs f after the duration.
func (l *Loop) After(d time.Duration, f func()) { l.At(l.now.Add(d), f) }

// Every runs f at each multiple of the interval, for as long as the loop runs.
func (l *Loop) Every(d time.Duration, f func()) {
	l.After(d, func() {
		f()
		l.Every(d, f)
	})
}

// RunUntil runs all events up to and including the instant.
func (l *Loop) RunUntil(end rrunit.Instant) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e, ok := heap.Pop(&l.events).(*event)
		if !ok {
			return
		}
		l.now = e.at
		run := e.run
		e.run = nil
		l.free = append(l.free, e)
		run()
	}
	l.now = end
}
