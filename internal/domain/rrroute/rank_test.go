package rrroute_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
)

// Guards against a whole version that is refused for the rank of one route: great numbers keep
// their order, and numbers that are served as they are stay.
func TestRanksHaveNoLimit(t *testing.T) {
	many := make([]int, 70)
	manyWant := make([]int, len(many))
	for i := range many {
		many[i] = 1000 * i
		manyWant[i] = min(i, rrroute.MaxRank)
	}
	for _, c := range []struct{ ranks, want []int }{
		{nil, nil},
		{[]int{2, 0, 5}, []int{2, 0, 5}},
		{[]int{0, rrroute.MaxRank}, []int{0, rrroute.MaxRank}},
		{[]int{0, 100}, []int{0, 1}},
		{[]int{100, 7, 1 << 40, 7, 0}, []int{2, 1, 3, 1, 0}},
		{many, manyWant},
	} {
		tab := table()
		for i, rank := range c.ranks {
			r := single(rrroute.RouteName(fmt.Sprint(i)), "x.example", "/a/")
			r.Rank = rank
			tab.Routes = append(tab.Routes, r)
		}
		for range 2 {
			must.NoError(t, tab.Build(), must.Sprint(c))
			for i := range tab.Routes {
				must.Eq(t, c.want[i], tab.Routes[i].Rank, must.Sprint(c))
			}
			must.LessEq(t, rrroute.MaxRank+1, tab.RankCount())
		}
	}
}
