package rrqueue

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// flow holds the entries of one caller in one keyQueue. It is never empty while
// it is in the ring of the keyQueue.
type flow[K comparable, T any] struct {
	caller  rrunit.CallerID
	entries list[K, T]
	// prev and next are the neighbours in the ring.
	prev, next *flow[K, T]
}

// keyQueue holds the entries of one rank under one key. Its callers are served
// round robin.
type keyQueue[K comparable, T any] struct {
	key   K
	flows map[rrunit.CallerID]*flow[K, T]
	// next is the flow that is served next; nil exactly while the queue is empty.
	next *flow[K, T]
}

func (l *keyQueue[K, T]) head() *Entry[K, T] { return l.next.entries.head }

// addFlow puts the flow at the end of the ring.
func (l *keyQueue[K, T]) addFlow(f *flow[K, T]) {
	l.flows[f.caller] = f
	if l.next == nil {
		f.prev, f.next = f, f
		l.next = f
		return
	}
	f.next = l.next
	f.prev = l.next.prev
	f.prev.next = f
	f.next.prev = f
}

func (l *keyQueue[K, T]) removeFlow(f *flow[K, T]) {
	delete(l.flows, f.caller)
	if f.next == f {
		l.next = nil
		return
	}
	f.prev.next = f.next
	f.next.prev = f.prev
	if l.next == f {
		l.next = f.next
	}
}

// keyQueue returns the rank's queue of the key, which it creates if missing.
func (q *Queue[K, T]) keyQueue(r *rank[K, T], key K) *keyQueue[K, T] {
	if l := r.keyQueue(key); l != nil {
		return l
	}
	l := takeFree(&q.freeKeyQueues)
	if l == nil {
		l = &keyQueue[K, T]{flows: make(map[rrunit.CallerID]*flow[K, T])}
	}
	l.key = key
	r.keyQueues = append(r.keyQueues, l)
	return l
}

func (q *Queue[K, T]) flow(l *keyQueue[K, T], caller rrunit.CallerID) *flow[K, T] {
	if f := l.flows[caller]; f != nil {
		return f
	}
	f := takeFree(&q.freeFlows)
	if f == nil {
		f = &flow[K, T]{}
	}
	f.caller = caller
	f.entries = list[K, T]{kind: listFlow}
	l.addFlow(f)
	return f
}

// releaseEmpty puts the flow and the keyQueue on their free lists if they are
// empty.
func (q *Queue[K, T]) releaseEmpty(r *rank[K, T], l *keyQueue[K, T], f *flow[K, T]) {
	if f.entries.head != nil {
		return
	}
	l.removeFlow(f)
	q.freeFlows = append(q.freeFlows, f)
	if l.next != nil {
		return
	}
	i := slices.Index(r.keyQueues, l)
	r.keyQueues = slices.Delete(r.keyQueues, i, i+1)
	q.freeKeyQueues = append(q.freeKeyQueues, l)
}

func takeFree[T any](free *[]*T) *T {
	n := len(*free)
	if n == 0 {
		return nil
	}
	v := (*free)[n-1]
	*free = (*free)[:n-1]
	return v
}
