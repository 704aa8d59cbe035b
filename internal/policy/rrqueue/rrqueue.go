// Package rrqueue is a priority queue by rank: the most urgent rank first, with a
// guaranteed minimum share, the floor, for every rank, and round robin among the
// callers of a rank. It is independent of what is queued and why; its user
// decides which entries can be served.
package rrqueue

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxCreditCosts is the most credit that a rank accumulates, in units of the
// largest cost of any rank. Without the limit, a rank whose work could not be
// served for a while would take all capacity afterwards.
const maxCreditCosts = 2

// Ready reports whether an entry of the rank under the key can be served now.
// floor is true if it would be served from the rank's floor share.
type Ready[K comparable] func(rank int, key K, floor bool) bool

// rank is one rank of a queue.
type rank[K comparable, T any] struct {
	floor float64
	// credit is the service that the rank is owed by its floor share; zero while
	// the rank is empty.
	credit float64
	// cost is the cost of serving one entry, relative to the other ranks.
	cost      float64
	keyQueues []*keyQueue[K, T]
	// limited holds the entries that are not exempt, so count for maxPerRank.
	limited list[K, T]
	// limitedLen is the length of limited; totalLen includes the exempt entries.
	limitedLen, totalLen int
}

func (r *rank[K, T]) keyQueue(key K) *keyQueue[K, T] {
	for _, kq := range r.keyQueues {
		if kq.key == key {
			return kq
		}
	}
	return nil
}

// oldestReady returns the keyQueue whose next entry is the oldest among those
// that can be served.
func (r *rank[K, T]) oldestReady(index int, floor bool, ready Ready[K]) *keyQueue[K, T] {
	var best *keyQueue[K, T]
	for _, kq := range r.keyQueues {
		if best != nil && kq.head().spec.sortKey() >= best.head().spec.sortKey() {
			continue
		}
		if ready(index, kq.key, floor) {
			best = kq
		}
	}
	return best
}

// Queue holds entries by rank, rank 0 being the most urgent. It is not safe for
// concurrent use.
type Queue[K comparable, T any] struct {
	ranks []rank[K, T]
	// maxPerRank is the most entries of one rank, not counting exempt ones.
	maxPerRank int
	totalLen   int
	// maxCost is the largest cost of the ranks.
	maxCost float64

	freeKeyQueues []*keyQueue[K, T]
	freeFlows     []*flow[K, T]
}

// New returns an empty queue with the floor shares of its ranks, which must add
// up to at most 1, and the most entries of one rank.
func New[K comparable, T any](floors []rrunit.Share, maxPerRank int) *Queue[K, T] {
	q := &Queue[K, T]{ranks: make([]rank[K, T], len(floors)), maxPerRank: maxPerRank, maxCost: 1}
	for i, f := range floors {
		q.ranks[i].floor = float64(f)
		q.ranks[i].cost = 1
		q.ranks[i].limited = list[K, T]{kind: listRank}
	}
	return q
}

// SetCost sets the cost of serving one entry of the rank, such as its usual
// service time. Floors are shares of the cost served.
func (q *Queue[K, T]) SetCost(rank int, cost float64) {
	q.ranks[rank].cost = cost
	q.maxCost = 0
	for i := range q.ranks {
		q.maxCost = max(q.maxCost, q.ranks[i].cost)
	}
}

// Push queues the entry, or returns false if the rank is full.
func (q *Queue[K, T]) Push(e *Entry[K, T], spec Spec[K]) bool {
	r := &q.ranks[spec.Rank]
	if !spec.Exempt && r.limitedLen >= q.maxPerRank {
		return false
	}
	e.spec = spec
	e.keyQueue = q.keyQueue(r, spec.Key)
	e.flow = q.flow(e.keyQueue, spec.Caller)
	e.flow.entries.insert(e)
	if !spec.Exempt {
		r.limited.insert(e)
		r.limitedLen++
	}
	r.totalLen++
	q.totalLen++
	return true
}

// Remove takes the entry out of the queue, if it is queued.
func (q *Queue[K, T]) Remove(e *Entry[K, T]) {
	if e.flow == nil {
		return
	}
	r := &q.ranks[e.spec.Rank]
	kq, f := e.keyQueue, e.flow
	f.entries.remove(e)
	e.keyQueue, e.flow = nil, nil
	q.releaseEmpty(r, kq, f)
	if !e.spec.Exempt {
		r.limited.remove(e)
		r.limitedLen--
	}
	r.totalLen--
	q.totalLen--
	if r.totalLen == 0 {
		r.credit = 0
	}
}

// Pick removes and returns the entry to serve next, or nil if none can be served. It is an
// entry of the rank and key for which ready returned true last. A rank that is owed a service by its floor share goes first, then the most
// urgent rank.
func (q *Queue[K, T]) Pick(ready Ready[K]) *Entry[K, T] {
	index, kq := q.overdueFloor(ready)
	if kq == nil {
		index, kq = q.mostUrgent(ready)
	}
	if kq == nil {
		return nil
	}
	e := kq.head()
	// The caller's turn ends even if it has more entries.
	kq.next = kq.next.next
	q.charge(index)
	q.Remove(e)
	return e
}

// overdueFloor returns the rank that is owed most by its floor share, at least one
// service, and the keyQueue to serve.
func (q *Queue[K, T]) overdueFloor(ready Ready[K]) (int, *keyQueue[K, T]) {
	best, mostCredit := -1, 1.0
	var bestQueue *keyQueue[K, T]
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.totalLen == 0 || r.credit < mostCredit*r.cost || best >= 0 && r.credit == mostCredit*r.cost {
			continue
		}
		if kq := r.oldestReady(i, true, ready); kq != nil {
			best, mostCredit, bestQueue = i, r.credit/r.cost, kq
		}
	}
	return best, bestQueue
}

func (q *Queue[K, T]) mostUrgent(ready Ready[K]) (int, *keyQueue[K, T]) {
	for i := range q.ranks {
		if kq := q.ranks[i].oldestReady(i, false, ready); kq != nil {
			return i, kq
		}
	}
	return -1, nil
}

// charge credits every non-empty rank with its floor share of one service of the
// served rank, and subtracts the service from that rank's credit.
func (q *Queue[K, T]) charge(served int) {
	cost := q.ranks[served].cost
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.totalLen > 0 {
			r.credit = min(r.credit+r.floor*cost, maxCreditCosts*q.maxCost)
		}
	}
	r := &q.ranks[served]
	r.credit = max(0, r.credit-cost)
}

// Len returns the number of entries, including exempt ones.
func (q *Queue[K, T]) Len() int { return q.totalLen }

// Waiting returns the number of entries of the rank, without exempt ones.
func (q *Queue[K, T]) Waiting(rank int) int { return q.ranks[rank].limitedLen }

// Oldest returns when the oldest entry of the rank began to wait, without exempt
// ones, and false if there is none.
func (q *Queue[K, T]) Oldest(rank int) (rrunit.Instant, bool) {
	e := q.ranks[rank].limited.head
	if e == nil {
		return 0, false
	}
	return e.spec.Since, true
}

// OldestOf returns when the caller's first entry under the key began to wait, and
// false if it has none.
func (q *Queue[K, T]) OldestOf(rank int, key K, caller rrunit.CallerID) (rrunit.Instant, bool) {
	kq := q.ranks[rank].keyQueue(key)
	if kq == nil || kq.flows[caller] == nil {
		return 0, false
	}
	return kq.flows[caller].entries.head.spec.Since, true
}

// Drain removes every entry for whose key isGone is true and passes it to take, which
// must not push. It checks each key once and does not visit entries that stay.
func (q *Queue[K, T]) Drain(isGone func(K) bool, take func(*Entry[K, T])) {
	for i := range q.ranks {
		r := &q.ranks[i]
		for next := 0; next < len(r.keyQueues); {
			kq := r.keyQueues[next]
			if !isGone(kq.key) {
				next++
				continue
			}
			for kq.next != nil {
				e := kq.head()
				q.Remove(e)
				take(e)
			}
		}
	}
}
