package rrplan_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
)

func TestSameSeedGivesSamePlan(t *testing.T) {
	targets := rrplan.Targets{Daemons: []string{"d0", "d1"}, Searchers: []string{"s0", "s1"}, Routes: []string{"one"}, Answers: []string{"odd"}}
	const duration = 2 * time.Minute
	plan := rrplan.New(7, duration, targets)
	must.Eq(t, plan, rrplan.New(7, duration, targets))
	must.NotEq(t, plan, rrplan.New(8, duration, targets))
	must.Greater(t, 50, len(plan))
	kinds := make(map[rrplan.Kind]bool)
	numbers := make(map[int]bool)
	for i, e := range plan {
		kinds[e.Kind] = true
		numbers[e.Number] = true
		must.Between(t, 1, e.Number, len(plan))
		must.GreaterEq(t, plan[max(0, i-1)].Start, e.Start)
		must.NotEq(t, "", e.Target)
		must.GreaterEq(t, rrplan.InitialQuietTime, e.Start)
		must.LessEq(t, duration-rrplan.FinalQuietTime, e.Start+e.Duration)
	}
	must.Eq(t, len(plan), len(numbers))
	for _, kind := range []rrplan.Kind{rrplan.SearcherLimit, rrplan.ReadersKill, rrplan.SearcherAnswer, rrplan.RequestCrash, rrplan.SearcherLeaves, rrplan.SearcherAsksPause, rrplan.SearcherEntry, rrplan.LinkBlockOpen} {
		must.True(t, kinds[kind], must.Sprint(kind))
	}
	must.Greater(t, 15, len(kinds))
}

func TestSelect(t *testing.T) {
	plan := []rrplan.Event{{Number: 1}, {Number: 2}, {Number: 3}, {Number: 4}}
	numbers := func(plan []rrplan.Event) (out []int) {
		for _, e := range plan {
			out = append(out, e.Number)
		}
		return out
	}
	must.Eq(t, []int{1, 2, 3, 4}, numbers(rrplan.Select(plan, nil, 0)))
	must.Eq(t, []int{2, 4}, numbers(rrplan.Select(plan, []int{2, 4}, 0)))
	must.Eq(t, []int{1, 2}, numbers(rrplan.Select(plan, nil, 2)))
	must.Eq(t, []int{2}, numbers(rrplan.Select(plan, []int{2, 4}, 3)))
	must.Eq(t, 4, len(plan))
}
