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

func (kq *keyQueue[K, T]) head() *Entry[K, T] { return kq.next.entries.head }

// addFlow puts the flow at the end of the ring.
func (kq *keyQueue[K, T]) addFlow(f *flow[K, T]) {
	kq.flows[f.caller] = f
	if kq.next == nil {
		f.prev, f.next = f, f
		kq.next = f
		return
	}
	f.next = kq.next
	f.prev = kq.next.prev
	f.prev.next = f
	f.next.prev = f
}

func (kq *keyQueue[K, T]) removeFlow(f *flow[K, T]) {
	delete(kq.flows, f.caller)
	if f.next == f {
		kq.next = nil
		return
	}
	f.prev.next = f.next
	f.next.prev = f.prev
	if kq.next == f {
		kq.next = f.next
	}
}

// keyQueue returns the rank's queue of the key, which it creates if missing.
func (q *Queue[K, T]) keyQueue(r *rank[K, T], key K) *keyQueue[K, T] {
	if kq := r.keyQueue(key); kq != nil {
		return kq
	}
	kq := takeFree(&q.freeKeyQueues)
	if kq == nil {
		kq = &keyQueue[K, T]{flows: make(map[rrunit.CallerID]*flow[K, T])}
	}
	kq.key = key
	r.keyQueues = append(r.keyQueues, kq)
	return kq
}

func (q *Queue[K, T]) flow(kq *keyQueue[K, T], caller rrunit.CallerID) *flow[K, T] {
	if f := kq.flows[caller]; f != nil {
		return f
	}
	f := takeFree(&q.freeFlows)
	if f == nil {
		f = &flow[K, T]{}
	}
	f.caller = caller
	f.entries = list[K, T]{kind: listFlow}
	kq.addFlow(f)
	return f
}

// releaseEmpty puts the flow and the keyQueue on their free lists if they are
// empty.
func (q *Queue[K, T]) releaseEmpty(r *rank[K, T], kq *keyQueue[K, T], f *flow[K, T]) {
	if f.entries.head != nil {
		return
	}
	kq.removeFlow(f)
	q.freeFlows = append(q.freeFlows, f)
	if kq.next != nil {
		return
	}
	i := slices.Index(r.keyQueues, kq)
	r.keyQueues = slices.Delete(r.keyQueues, i, i+1)
	q.freeKeyQueues = append(q.freeKeyQueues, kq)
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
