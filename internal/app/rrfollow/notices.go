package rrfollow

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// notices are what the daemons find out themselves and pass on to each other for some time.
type notices[K comparable] struct {
	compare func(a, b K) int
	// limit is how many are kept. All daemons keep the first ones by key, so that they
	// don't send each other the rest again and again.
	limit int
	// entries are in the order of their keys.
	entries []notice[K]
}

// minNoticeLeft is the least time left of a notice that is passed on. Each transfer adds its
// latency to the end, so that daemons would tell each other of a notice again that has just
// ended, without end.
const minNoticeLeft = rrunit.Duration(time.Second)

// notice is one of notices, passed on until its end.
type notice[K comparable] struct {
	key   K
	until rrunit.Instant
}

// add adds a notice and reports whether it is new, or known with an end that is much sooner.
func (n *notices[K]) add(now rrunit.Instant, key K, left rrunit.Duration) bool {
	n.entries = slices.DeleteFunc(n.entries, func(e notice[K]) bool { return e.until <= now })
	i, known := slices.BinarySearchFunc(n.entries, key, func(e notice[K], key K) int { return n.compare(e.key, key) })
	until := now.Add(left.Std())
	switch {
	case i >= n.limit || left < minNoticeLeft:
		return false
	case known && until < n.entries[i].until.Add(minNoticeLeft.Std()):
		return false
	case known:
		n.entries[i].until = until
		return true
	}
	n.entries = slices.Insert(n.entries, i, notice[K]{key: key, until: until})
	n.entries = n.entries[:min(len(n.entries), n.limit)]
	return true
}

// active returns the notices to pass on to a receiver that keeps as many as limit, without
// those that it knows.
func (n *notices[K]) active(now rrunit.Instant, limit int, isKnown map[K]bool) []notice[K] {
	var out []notice[K]
	for _, e := range n.entries[:min(limit, len(n.entries))] {
		if e.until.Sub(now) >= minNoticeLeft.Std() && !isKnown[e.key] {
			out = append(out, e)
		}
	}
	return out
}

// left returns how much longer the notice is passed on.
func (e *notice[K]) left(now rrunit.Instant) rrunit.Duration {
	return rrunit.Duration(e.until.Sub(now))
}
