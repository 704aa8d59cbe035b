package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// First attempts stay in the region while its searcher answers in the usual time, even
// if its machine is slower at the moment than one in another region. They go elsewhere
// if it is much slower, has a long queue, or refuses requests.
func TestFirstAttemptsStayInTheRegion(t *testing.T) {
	cases := map[string]struct {
		report   rrestimate.Report
		failures int
		stays    bool
	}{
		"no report":     {stays: true},
		"usual pace":    {report: rrestimate.Report{Load: 1, Slowdown: 1}, stays: true},
		"twice as slow": {report: rrestimate.Report{Load: 1, Slowdown: 2}, stays: true},
		"five times":    {report: rrestimate.Report{Load: 1, Slowdown: 5}},
		"short queue":   {report: rrestimate.Report{Load: 7, Slowdown: 1}, stays: true},
		"long queue":    {report: rrestimate.Report{Load: 15, Slowdown: 1}},
		"refuses":       {report: rrestimate.Report{Load: 1, Slowdown: 1}, failures: 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRegionalShard(8 * time.Millisecond)
			s.SetIdleConnections(func(rrunit.SearcherID) int { return 1 })
			if c.report.Slowdown > 0 {
				s.RecordAnswerLoad(second, "near", c.report)
			}
			s.MergeObservations(second, "near", rrestimate.Observation{Failed: c.failures})
			actions := s.Offer(second, rrdispatch.Job{ID: 1, Version: 1, Idempotent: true, Deadline: second.Add(second.Sub(0))})
			must.SliceLen(t, 1, actions)
			must.Eq(t, c.stays, actions[0].Searcher == "near")
		})
	}
}

// A second attempt without another searcher in the region goes to the one with the
// lowest estimated latency.
func TestSecondAttemptGoesToLowestEstimate(t *testing.T) {
	s := newRegionalShard(8 * time.Millisecond)
	s.SetIdleConnections(func(rrunit.SearcherID) int { return 1 })
	s.RecordAnswerLoad(second, "far1", rrestimate.Report{Load: 1, Slowdown: 2})
	actions := s.Offer(second, rrdispatch.Job{ID: 1, Version: 1, Idempotent: true, MaxAttempts: 2, Deadline: second.Add(second.Sub(0))})
	must.Eq(t, "near", actions[0].Searcher)
	actions = s.Finish(second+1, actions[0].Attempt, rrupstream.OutcomeShed)
	must.SliceLen(t, 1, actions)
	must.Eq(t, "far2", actions[0].Searcher)
}
