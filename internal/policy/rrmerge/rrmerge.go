// Package rrmerge merges the hits of shards into the hits of an answer.
package rrmerge

import (
	"cmp"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// Compare orders hits by descending score, then by id.
func Compare(a, b rrquery.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// Hits merges the lists and returns the first limit hits in order, without
// duplicate ids. The lists need not be sorted.
func Hits(lists [][]rrquery.Hit, limit int) []rrquery.Hit {
	out := make([]rrquery.Hit, 0, max(0, limit))
	if limit <= 0 {
		return out
	}
	for _, l := range lists {
		for i := range l {
			out = insert(out, &l[i], limit)
		}
	}
	return out
}

// insert adds a hit to the sorted list of the best hits so far. Most hits of a
// large merge are worse than all of them and cost one comparison.
func insert(best []rrquery.Hit, h *rrquery.Hit, limit int) []rrquery.Hit {
	if len(best) == limit && Compare(*h, best[limit-1]) >= 0 {
		return best
	}
	if i := slices.IndexFunc(best, func(b rrquery.Hit) bool { return b.ID == h.ID }); i >= 0 {
		if Compare(*h, best[i]) >= 0 {
			return best
		}
		best = slices.Delete(best, i, i+1)
	}
	if len(best) == limit {
		best = best[:limit-1]
	}
	at, _ := slices.BinarySearchFunc(best, *h, Compare)
	return slices.Insert(best, at, *h)
}
