package rrmerge_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmerge"
)

// expected sorts all hits and keeps the first one of each id.
func expected(lists [][]rrquery.Hit, limit int) []rrquery.Hit {
	all := slices.Concat(lists...)
	slices.SortFunc(all, rrmerge.Compare)
	out := []rrquery.Hit{}
	for _, h := range all {
		duplicate := slices.ContainsFunc(out, func(o rrquery.Hit) bool { return o.ID == h.ID })
		if !duplicate && len(out) < limit {
			out = append(out, h)
		}
	}
	return out
}

func TestHits(t *testing.T) {
	hit := rapid.Custom(func(t *rapid.T) rrquery.Hit {
		return rrquery.Hit{
			ID:    rapid.StringMatching(`[a-h]`).Draw(t, "id"),
			Score: float64(rapid.IntRange(0, 5).Draw(t, "score")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfN(hit, 0, 8), 0, 6).Draw(t, "lists")
		limit := rapid.IntRange(0, 10).Draw(t, "limit")
		must.Eq(t, expected(lists, limit), rrmerge.Hits(lists, limit))
	})
}
