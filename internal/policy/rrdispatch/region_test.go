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

// First attempts stay in the region while its searcher answers in usual time, though
// its machine is slower at the moment than that of another region. They leave it
// when it is much slower, has a long line, or refuses.
func TestFirstAttemptsStayInTheRegion(t *testing.T) {
	cases := map[string]struct {
		told   rrestimate.Report
		misses int
		stays  bool
	}{
		"nothing told":     {stays: true},
		"usual pace":       {told: rrestimate.Report{Load: 1, Pace: 1}, stays: true},
		"twice as slow":    {told: rrestimate.Report{Load: 1, Pace: 2}, stays: true},
		"five times":       {told: rrestimate.Report{Load: 1, Pace: 5}},
		"a few wait there": {told: rrestimate.Report{Load: 7, Pace: 1}, stays: true},
		"many wait there":  {told: rrestimate.Report{Load: 15, Pace: 1}},
		"refuses":          {told: rrestimate.Report{Load: 1, Pace: 1}, misses: 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := connecting(8 * time.Millisecond)
			s.SetIdle(func(rrunit.SearcherID) int { return 1 })
			if c.told.Pace > 0 {
				s.NoteLoad(second, "near", c.told)
			}
			s.Hear(second, "near", rrestimate.Observed{Missed: c.misses})
			actions := s.Offer(second, rrdispatch.Job{ID: 1, Version: 1, Idempotent: true, Deadline: second.Add(second.Sub(0))})
			must.SliceLen(t, 1, actions)
			must.Eq(t, c.stays, actions[0].Searcher == "near")
		})
	}
}

// A second attempt that finds no other searcher in the region goes where it is
// expected to be answered soonest.
func TestSecondAttemptsGoWhereTheyAreAnsweredSoonest(t *testing.T) {
	s := connecting(8 * time.Millisecond)
	s.SetIdle(func(rrunit.SearcherID) int { return 1 })
	s.NoteLoad(second, "far1", rrestimate.Report{Load: 1, Pace: 2})
	actions := s.Offer(second, rrdispatch.Job{ID: 1, Version: 1, Idempotent: true, Attempts: 2, Deadline: second.Add(second.Sub(0))})
	must.Eq(t, "near", actions[0].Searcher)
	actions = s.Finish(second+1, actions[0].Attempt, rrupstream.OutcomeShed)
	must.SliceLen(t, 1, actions)
	must.Eq(t, "far2", actions[0].Searcher)
}
