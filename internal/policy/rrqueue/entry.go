package rrqueue

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Entry is the intrusive link of one value in a queue. It is embedded in the
// queued value, so that queueing allocates nothing. The zero Entry is in no queue.
type Entry[K comparable, T any] struct {
	// Value is the queued value.
	Value T

	spec Spec[K]
	// keyQueue and flow are nil exactly while the entry is in no queue.
	keyQueue *keyQueue[K, T]
	flow     *flow[K, T]

	links [listKinds]link[K, T]
}

// Spec holds the attributes that an entry is queued by.
type Spec[K comparable] struct {
	// Rank is the index of the rank.
	Rank int
	// Key is shared by the entries of which either all or none can be served at
	// a time.
	Key K
	// Caller is the caller that the entry is queued for. Callers share a rank
	// by round robin.
	Caller rrunit.CallerID
	// Since is when the entry began to wait.
	Since rrunit.Instant
	// SortKey sorts the entries of one caller under one key, smallest first; zero
	// means Since.
	SortKey rrunit.Instant
	// Exempt is true for an entry that was queued before, or that continues work
	// already under way. It is queued even if the rank is full, counts neither for
	// the rank's length nor for its oldest wait, and goes before entries that
	// began to wait later.
	Exempt bool
}

// sortKey returns the instant by which the entry is sorted.
func (p *Spec[K]) sortKey() rrunit.Instant {
	if p.SortKey != 0 {
		return p.SortKey
	}
	return p.Since
}

// Queued reports whether the entry is in a queue.
func (e *Entry[K, T]) Queued() bool { return e.flow != nil }

// Spec returns the attributes with which the entry was last queued.
func (e *Entry[K, T]) Spec() Spec[K] { return e.spec }

// listKind identifies one of the lists that an entry is linked in.
type listKind int

const (
	// listFlow links the entries of one flow by their sort key.
	listFlow listKind = iota
	// listRank links the entries of one rank in the order of arrival.
	listRank
	listKinds
)

type link[K comparable, T any] struct {
	prev, next *Entry[K, T]
}

// list is a doubly linked list of entries, oldest first.
type list[K comparable, T any] struct {
	kind       listKind
	head, tail *Entry[K, T]
}

// insert adds e in order. New entries are appended. Exempt ones, and in a flow
// those with an explicit order, are inserted by a search from the front: exempt
// entries have waited longest.
func (l *list[K, T]) insert(e *Entry[K, T]) {
	if !e.spec.Exempt && (e.spec.SortKey == 0 || l.kind == listRank) {
		l.insertAfter(l.tail, e)
		return
	}
	var after *Entry[K, T]
	for next := l.head; next != nil && next.spec.sortKey() <= e.spec.sortKey(); next = next.links[l.kind].next {
		after = next
	}
	l.insertAfter(after, e)
}

func (l *list[K, T]) insertAfter(after, e *Entry[K, T]) {
	own := &e.links[l.kind]
	own.prev = after
	own.next = l.head
	if after != nil {
		own.next = after.links[l.kind].next
		after.links[l.kind].next = e
	} else {
		l.head = e
	}
	if own.next != nil {
		own.next.links[l.kind].prev = e
	} else {
		l.tail = e
	}
}

func (l *list[K, T]) remove(e *Entry[K, T]) {
	own := &e.links[l.kind]
	if own.prev != nil {
		own.prev.links[l.kind].next = own.next
	} else {
		l.head = own.next
	}
	if own.next != nil {
		own.next.links[l.kind].prev = own.prev
	} else {
		l.tail = own.prev
	}
	*own = link[K, T]{}
}
