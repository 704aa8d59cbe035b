package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// takeLimits returns the limits that the shard sends to other daemons; -1 is an end.
func takeLimits(s *rrdispatch.Shard) map[rrunit.SearcherID]rrunit.Rate {
	out := make(map[rrunit.SearcherID]rrunit.Rate)
	s.TakeLimits(func(id rrunit.SearcherID, r rrdispatch.LimitReport) {
		out[id] = -1
		if r.Limit != nil {
			out[id] = *r.Limit
		}
	})
	return out
}

// Only changes of a limit are sent to other daemons, each once, and what another daemon
// sent is not passed on.
func TestChangesOfLimitsAreShared(t *testing.T) {
	s := newLimitedShard(8, "a")
	must.MapEmpty(t, takeLimits(s.Shard))
	s.nameLimit("a", 10)
	must.Eq(t, map[rrunit.SearcherID]rrunit.Rate{"a": 10}, takeLimits(s.Shard))
	s.nameLimit("a", 10.5)
	must.MapEmpty(t, takeLimits(s.Shard), must.Sprint("hardly another limit"))
	s.nameLimit("a", 20)
	s.RecordLimit(s.now, "a", nil)
	must.Eq(t, map[rrunit.SearcherID]rrunit.Rate{"a": -1}, takeLimits(s.Shard))
	limit := rrunit.Rate(5)
	s.MergeLimit(s.now+1, "a", rrdispatch.LimitReport{Limit: &limit, At: s.now + 1})
	must.MapEmpty(t, takeLimits(s.Shard))
}

// Of two statements on a limit the later counts, whoever received it.
func TestLaterLimitCounts(t *testing.T) {
	limit := rrunit.Rate(10)
	named, ended := &limit, (*rrunit.Rate)(nil)
	for name, c := range map[string]struct {
		own, remote *rrunit.Rate
		age         time.Duration
		limited     bool
	}{
		"older end":   {named, ended, time.Second, true},
		"later end":   {named, ended, -time.Second, false},
		"older limit": {ended, named, time.Second, false},
		"later limit": {ended, named, -time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedShard(8, "a")
			s.now = 10 * second
			s.RecordLimit(s.now, "a", c.own)
			s.MergeLimit(s.now, "a", rrdispatch.LimitReport{Limit: c.remote, At: s.now.Add(-c.age)})
			must.Eq(t, c.limited, s.State(s.now).Searchers[0].Limit != nil)
		})
	}
}
