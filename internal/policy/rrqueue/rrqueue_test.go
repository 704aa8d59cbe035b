package rrqueue_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
)

type (
	queue = rrqueue.Queue[string, int]
	entry = rrqueue.Entry[string, int]
	spec  = rrqueue.Spec[string]
)

func always(int, string, bool) bool { return true }

func push(q *queue, v int, s spec) *entry {
	e := &entry{Value: v}
	q.Push(e, s)
	return e
}

func order(q *queue) []int {
	var out []int
	for e := q.Pick(always); e != nil; e = q.Pick(always) {
		out = append(out, e.Value)
	}
	return out
}

func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		specs []spec
		want  []int
	}{
		"urgent first":         {[]spec{{Rank: 1}, {Rank: 0}, {Rank: 1}, {Rank: 0}}, []int{1, 3, 0, 2}},
		"callers round robin":  {[]spec{{Caller: "x"}, {Caller: "x"}, {Caller: "x"}, {Caller: "y"}}, []int{0, 3, 1, 2}},
		"extra entries by age": {[]spec{{Since: 5}, {Since: 6}, {Since: 4, Exempt: true}}, []int{2, 0, 1}},
		"oldest key first":     {[]spec{{Key: "a", Since: 2}, {Key: "b", Since: 1}}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			q := rrqueue.New[string, int]([]rrunit.Share{0, 0}, 10)
			for i, s := range c.specs {
				push(q, i, s)
			}
			must.Eq(t, c.want, order(q))
			must.Zero(t, q.Len())
		})
	}
}

func TestFloors(t *testing.T) {
	for name, c := range map[string]struct {
		costs []float64
		want  []float64
	}{
		"equal costs":              {[]float64{1, 1, 1}, []float64{0.6, 0.3, 0.1}},
		"the last rank costs more": {[]float64{1, 1, 5}, []float64{0.6, 0.3, 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			q := rrqueue.New[string, int]([]rrunit.Share{0.2, 0.3, 0.1}, 1<<20)
			for rank, cost := range c.costs {
				q.SetCost(rank, cost)
				for range 10000 {
					push(q, rank, spec{Rank: rank})
				}
			}
			served, all := make([]float64, 3), 0.0
			for range 5000 {
				rank := q.Pick(always).Value
				served[rank] += c.costs[rank]
				all += c.costs[rank]
			}
			for rank, want := range c.want {
				must.InDelta(t, want, served[rank]/all, 0.01)
			}
		})
	}
}

func TestCreditIsResetWhenRankIsEmpty(t *testing.T) {
	q := rrqueue.New[string, int]([]rrunit.Share{0, 0.5}, 1000)
	for range 100 {
		push(q, 0, spec{})
	}
	queued := push(q, 1, spec{Rank: 1})
	must.Zero(t, q.Pick(always).Value)
	q.Remove(queued)
	push(q, 1, spec{Rank: 1})
	// The half credit earned before was reset.
	must.Zero(t, q.Pick(always).Value)
	must.Zero(t, q.Pick(always).Value)
	must.One(t, q.Pick(always).Value)
}

func TestBoundAndDrain(t *testing.T) {
	q := rrqueue.New[string, int]([]rrunit.Share{0}, 2)
	push(q, 1, spec{Key: "a", Since: 3})
	push(q, 2, spec{Key: "b", Since: 4})
	must.False(t, push(q, 3, spec{Key: "a"}).Queued())
	must.True(t, push(q, 4, spec{Key: "a", Exempt: true}).Queued())
	since, ok := q.Oldest(0)
	must.True(t, ok)
	must.Eq(t, 3, since)
	var gone []int
	q.Drain(func(k string) bool { return k == "a" }, func(e *entry) { gone = append(gone, e.Value) })
	must.Eq(t, []int{4, 1}, gone)
	must.One(t, q.Waiting(0))
	must.Nil(t, q.Pick(func(_ int, key string, _ bool) bool { return key == "a" }))
}

// The user of the queue keeps what it found for the lane that ready accepted last.
func TestPickServesTheLaneAcceptedLast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	q := rrqueue.New[string, int]([]rrunit.Share{0.1, 0.4, 0.3}, 1000)
	keys := []string{"a", "b", "c", "d"}
	picked := 0
	for i := range 5000 {
		push(q, i, spec{Rank: rng.IntN(3), Key: keys[rng.IntN(len(keys))], Since: rrunit.Instant(rng.IntN(1000))})
		var lastRank int
		var lastKey string
		e := q.Pick(func(rank int, key string, _ bool) bool {
			if rng.IntN(2) == 0 {
				return false
			}
			lastRank, lastKey = rank, key
			return true
		})
		if e == nil {
			continue
		}
		picked++
		must.Eq(t, lastRank, e.Spec().Rank)
		must.Eq(t, lastKey, e.Spec().Key)
	}
	must.Greater(t, 4000, picked)
}
