package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func configOf(ids ...rrunit.SearcherID) rrdispatch.Config {
	cfg := rrdispatch.Config{
		Layout: "base", Ranks: []rrdispatch.Rank{{Name: "urgent"}}, QueueLimit: 10, QuarantineDuration: rrunit.Duration(time.Minute),
	}
	for _, id := range ids {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: 1})
	}
	return cfg
}

// New searchers don't share the bit of an existing one, wherever they are in the
// configuration: a job that every searcher refuses is sent to each exactly once.
func TestNewSearchersHaveTheirOwnBits(t *testing.T) {
	const second = rrunit.Instant(time.Second)
	cases := map[string][]rrdispatch.Config{
		"before":        {configOf("b"), configOf("a", "b")},
		"behind":        {configOf("a"), configOf("a", "b")},
		"one by one":    {configOf(), configOf("d"), configOf("c", "d"), configOf("a", "c", "d"), configOf("a", "b", "c", "d")},
		"in exchange":   {configOf("a", "b", "c"), configOf("d", "b", "c"), configOf("d", "e", "c")},
		"in new orders": {configOf("a", "b", "c"), configOf("c", "d", "a", "b")},
	}
	for name, configs := range cases {
		t.Run(name, func(t *testing.T) {
			s := rrdispatch.New(configs[0])
			for _, cfg := range configs[1:] {
				s.Configure(second, cfg)
			}
			last := configs[len(configs)-1].Searchers
			sent := make(map[rrunit.SearcherID]int)
			now := 2 * second
			actions := s.Offer(now, rrdispatch.Job{ID: 1, Version: 1, Idempotent: true, Deadline: 10 * second})
			for range last {
				must.SliceLen(t, 1, actions)
				must.Eq(t, rrdispatch.ActionSend, actions[0].Kind)
				sent[actions[0].Searcher]++
				now = now.Add(time.Millisecond)
				actions = s.Finish(now, actions[0].Attempt, rrupstream.OutcomeDraining)
			}
			for _, w := range last {
				must.Eq(t, 1, sent[w.ID], must.Sprint(sent))
			}
		})
	}
}
